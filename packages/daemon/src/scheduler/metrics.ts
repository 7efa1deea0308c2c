/** Prometheus counters, gauges and latency histograms of the scheduler host. */
import type {AccountStatus, Calibration} from '@rhubarblever/core/scheduler';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

const latencyBucketsS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

export type SchedulerMetrics = {
	readonly registry: Registry;
	/** Callers' requests by operation and outcome. */
	readonly calls: Counter<'operation' | 'outcome'>;
	readonly callSeconds: Histogram<'operation'>;
	/** Connections that were closed and requests that were refused because of a limit on clients. */
	readonly refusedClients: Counter<'server' | 'reason'>;
	/** Checks of API keys by outcome. */
	readonly keys: Counter<'outcome'>;
	/** Logged decisions by event name. */
	readonly decisions: Counter<'event'>;
	/** Outgoing calls to the store, workers, machines and the advice service by outcome. */
	readonly outgoingCalls: Counter<'order' | 'outcome'>;
	readonly outgoingCallSeconds: Histogram<'order'>;
	/** 1 while this host is the leader, else 0. */
	readonly leadership: Gauge;
	readonly liveJobs: Gauge;
	/** Ended runs by whether they took less or more than the quantile expected of them. */
	readonly runCalibration: Counter<'quantile' | 'outcome'>;
	/** New jobs by the outcome of admission. */
	readonly admissions: Counter<'outcome'>;
	/** At the leader: how long a job of a queue would wait if it arrived now, without and with the late jobs ahead of it. */
	readonly expectedWaitSeconds: Gauge<'queue' | 'kind'>;
	/** Staleness of the view by stream; absent until the stream was first read to its end. */
	readonly viewAgeSeconds: Gauge<'stream'>;
	/** Takes use and share by account from `list` whenever the metrics are read. */
	readonly followAccounts: (list: (most: number) => readonly AccountStatus[]) => void;
};

/** Accounts that metrics show by name, so that their number is bounded. */
const maxNamedAccounts = 50;

/** Gauges of what each client account has running; empty on hosts that do not lead. */
function createAccountGauges(registers: Registry[]): SchedulerMetrics['followAccounts'] {
	let listAccounts: (most: number) => readonly AccountStatus[] = () => [];
	const use = new Gauge({
		name: 'rhubarblever_account_use', help: 'What an account has running: cpu in thousandths of a core, memory in MB, accelerators', labelNames: ['account', 'resource'], registers, collect() {
			use.reset();
			for (const {account, use: {cpu, memoryMb, gpu}} of listAccounts(maxNamedAccounts)) {
				use.set({account, resource: 'cpu'}, cpu);
				use.set({account, resource: 'memory'}, memoryMb);
				use.set({account, resource: 'gpu'}, gpu);
			}
		},
	});
	const share = new Gauge({
		name: 'rhubarblever_account_share', help: 'Highest ratio of an account\'s use to the capacity of the fleet over the resources, divided by its weight', labelNames: ['account'], registers, collect() {
			share.reset();
			for (const row of listAccounts(maxNamedAccounts)) {
				share.set({account: row.account}, row.share);
			}
		},
	});
	return list => {
		listAccounts = list;
	};
}

/**
 * Creates the metrics of one host in a registry of their own. The names and labels are fixed, because operators' queries use them.
 * Two names differ from the terms of the code: the label `order` names the kind of any outgoing call (`hold` is a poll
 * of a worker, `claim` a claim of leadership), and `rhubarblever_leads` shows leadership.
 */
export function createMetrics(): SchedulerMetrics {
	const registry = new Registry();
	const registers = [registry];
	return {
		registry,
		calls: new Counter({
			name: 'rhubarblever_calls_total', help: 'Calls of callers', labelNames: ['operation', 'outcome'], registers,
		}),
		callSeconds: new Histogram({
			name: 'rhubarblever_call_seconds', help: 'Time to answer a caller', labelNames: ['operation'], buckets: latencyBucketsS, registers,
		}),
		refusedClients: new Counter({
			name: 'rhubarblever_clients_refused_total', help: 'Connections closed and requests refused because of a limit on clients', labelNames: ['server', 'reason'], registers,
		}),
		keys: new Counter({
			name: 'rhubarblever_keys_total', help: 'Checks of API keys', labelNames: ['outcome'], registers,
		}),
		decisions: new Counter({
			name: 'rhubarblever_decisions_total', help: 'Decisions and changes of belief', labelNames: ['event'], registers,
		}),
		outgoingCalls: new Counter({
			name: 'rhubarblever_orders_total', help: 'Calls to the store, workers, machines and advice', labelNames: ['order', 'outcome'], registers,
		}),
		outgoingCallSeconds: new Histogram({
			name: 'rhubarblever_order_seconds', help: 'Time of calls to the store, workers, machines and advice', labelNames: ['order'], buckets: latencyBucketsS, registers,
		}),
		leadership: new Gauge({name: 'rhubarblever_leads', help: '1 on the host that schedules', registers}),
		viewAgeSeconds: new Gauge({
			name: 'rhubarblever_view_age_seconds', help: 'All that was stored in the stream before this age has been read', labelNames: ['stream'], registers,
		}),
		runCalibration: new Counter({
			name: 'rhubarblever_run_calibration_total', help: 'Ended runs under and over the run time expected of them', labelNames: ['quantile', 'outcome'], registers,
		}),
		admissions: new Counter({
			name: 'rhubarblever_admissions_total', help: 'New jobs by the outcome of admission', labelNames: ['outcome'], registers,
		}),
		expectedWaitSeconds: new Gauge({
			name: 'rhubarblever_expected_wait_seconds', help: 'Wait of a job that arrives now', labelNames: ['queue', 'kind'], registers,
		}),
		liveJobs: new Gauge({name: 'rhubarblever_live_jobs', help: 'Jobs that the leader works on', registers}),
		followAccounts: createAccountGauges(registers),
	};
}

/** Sets the counters of calibration to those of the scheduler's state. */
export function updateCalibration({runCalibration}: SchedulerMetrics, calibration: Readonly<Record<string, Readonly<Calibration>>>): void {
	runCalibration.reset();
	for (const [quantile, {under, over}] of Object.entries(calibration)) {
		runCalibration.inc({quantile, outcome: 'under'}, under);
		runCalibration.inc({quantile, outcome: 'over'}, over);
	}
}
