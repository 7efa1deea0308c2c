/** Counters and latency histograms, for pulling. */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

const latencyBucketsS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

export type SchedulerMetrics = {
	readonly registry: Registry;
	/** Calls of callers by operation and outcome. */
	readonly calls: Counter<'operation' | 'outcome'>;
	readonly callSeconds: Histogram<'operation'>;
	/** Decisions by event, as logged. */
	readonly decisions: Counter<'event'>;
	/** Calls to the store, workers, machines and advice by outcome. */
	readonly orders: Counter<'order' | 'outcome'>;
	readonly orderSeconds: Histogram<'order'>;
	readonly leadership: Gauge;
	readonly liveJobs: Gauge;
	/** By stream; absent until the stream was read up to its end. */
	readonly viewAgeSeconds: Gauge<'stream'>;
};

/** Makes the metrics of one host. */
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
		orders: new Counter({
			name: 'rhubarblever_orders_total', help: 'Calls to the store, workers, machines and advice', labelNames: ['order', 'outcome'], registers,
		}),
		orderSeconds: new Histogram({
			name: 'rhubarblever_order_seconds', help: 'Time of calls to the store, workers, machines and advice', labelNames: ['order'], buckets: latencyBucketsS, registers,
		}),
		leadership: new Gauge({name: 'rhubarblever_leads', help: '1 on the host that schedules', registers}),
		viewAgeSeconds: new Gauge({
			name: 'rhubarblever_view_age_seconds', help: 'All that was stored in the stream before this age has been read', labelNames: ['stream'], registers,
		}),
		liveJobs: new Gauge({name: 'rhubarblever_live_jobs', help: 'Jobs that the leader works on', registers}),
	};
}
