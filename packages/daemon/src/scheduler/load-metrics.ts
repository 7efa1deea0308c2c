/** Shows the leader's expected waits by queue. */
import {findWait, type SchedulerState} from '@rhubarblever/core/scheduler';
import type {SchedulerMetrics} from './metrics.js';

/** Queues shown by name; a configuration may have thousands. */
const maxShownQueues = 50;
const millisecondsPerSecond = 1000;

export class LoadMetrics {
	static create(state: SchedulerState, metrics: SchedulerMetrics): LoadMetrics {
		return new LoadMetrics(state, metrics);
	}

	private shown: SchedulerState['load']['view'];

	private constructor(private readonly state: SchedulerState, private readonly metrics: SchedulerMetrics) {}

	/** Sets the gauges if the figures have changed; other hosts than the leader show none. */
	tick(): void {
		const {load, leadership, config, now} = this.state;
		const view = leadership.role === 'leader' ? load.view : undefined;
		if (view === this.shown) {
			return;
		}

		this.shown = view;
		const gauge = this.metrics.expectedWaitSeconds;
		gauge.reset();
		let shown = 0;
		for (const {name, pool, priority} of view && config ? config.queues : []) {
			const wait = shown < maxShownQueues ? findWait(this.state, pool, priority, now) : undefined;
			if (wait) {
				shown++;
				gauge.set({queue: name, kind: 'start'}, wait.startMs / millisecondsPerSecond);
				gauge.set({queue: name, kind: 'delay'}, wait.delayMs / millisecondsPerSecond);
			}
		}
	}
}
