/** Prometheus counters, gauges and latency histograms of the scheduler host. */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

const latencyBucketsS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

export type SchedulerMetrics = {
	readonly registry: Registry;
	/** Callers' requests by operation and outcome. */
	readonly calls: Counter<'operation' | 'outcome'>;
	readonly callSeconds: Histogram<'operation'>;
	/** Logged decisions by event name. */
	readonly decisions: Counter<'event'>;
	/** Outgoing calls to the store, workers, machines and the advice service by outcome. */
	readonly outgoingCalls: Counter<'order' | 'outcome'>;
	readonly outgoingCallSeconds: Histogram<'order'>;
	/** 1 while this host is the leader, else 0. */
	readonly leadership: Gauge;
	readonly liveJobs: Gauge;
	/** New jobs by the outcome of admission. */
	readonly admissions: Counter<'outcome'>;
	/** At the leader: how long a job of a queue would wait if it arrived now, without and with the late jobs ahead of it. */
	readonly expectedWaitSeconds: Gauge<'queue' | 'kind'>;
	/** Staleness of the view by stream; absent until the stream was first read to its end. */
	readonly viewAgeSeconds: Gauge<'stream'>;
};

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
		admissions: new Counter({
			name: 'rhubarblever_admissions_total', help: 'New jobs by the outcome of admission', labelNames: ['outcome'], registers,
		}),
		expectedWaitSeconds: new Gauge({
			name: 'rhubarblever_expected_wait_seconds', help: 'Wait of a job that arrives now', labelNames: ['queue', 'kind'], registers,
		}),
		liveJobs: new Gauge({name: 'rhubarblever_live_jobs', help: 'Jobs that the leader works on', registers}),
	};
}
