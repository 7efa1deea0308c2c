/** Looks into the configuration in force. */
import type {
	FleetConfig, PoolConfig, PoolName, Queue, QueueName,
} from './types.js';
import type {Job, SchedulerState} from './state.js';

/** For jobs that were accepted before attempts were stored with them, and whose queue is gone. */
const defaultMaxAttempts = 3;

/** The queue that a call is for: the longest path prefix of the host. */
export function findQueue(config: FleetConfig, host: string, path: string): Queue | undefined {
	let best: Queue | undefined;
	for (const queue of config.queues) {
		const matches = queue.host === host && path.startsWith(queue.pathPrefix);
		if (matches && queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)) {
			best = queue;
		}
	}

	return best;
}

const indexes = new WeakMap<FleetConfig, ReadonlyMap<QueueName, Queue>>();

/** The queues of a configuration by name; a configuration may have thousands. */
function listByName(config: FleetConfig): ReadonlyMap<QueueName, Queue> {
	let index = indexes.get(config);
	if (!index) {
		index = new Map(config.queues.map(queue => [queue.name, queue]));
		indexes.set(config, index);
	}

	return index;
}

/** A queue by its name. */
export function getQueue(state: SchedulerState, name: QueueName): Queue | undefined {
	return state.config && listByName(state.config).get(name);
}

/** A pool by its name. */
export function getPoolConfig(state: SchedulerState, name: PoolName): PoolConfig | undefined {
	return state.config?.pools.find(pool => pool.name === name);
}

/** The pool whose workers may run a job; that of its acceptance when its queue is gone. */
export function getPoolOfJob(state: SchedulerState, job: Job): PoolName {
	return getQueue(state, job.definition.queue)?.pool ?? job.definition.pool;
}

/** How often a task of a job may fail; as at its acceptance when its queue is gone. */
export function getMaxAttempts(state: SchedulerState, {definition}: Job): number {
	return getQueue(state, definition.queue)?.maxAttempts ?? definition.maxAttempts ?? defaultMaxAttempts;
}
