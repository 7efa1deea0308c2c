/** Lookups in the configuration in force. */
import type {
	AccountName, ClientAccount, FleetConfig, PoolConfig, PoolName, Queue, QueueName,
} from './types.js';
import type {Job, SchedulerState} from './state.js';

/** For jobs whose queue no longer exists and that were accepted before the number of attempts was stored with the job. */
const defaultMaxAttempts = 3;

/** The queue that serves a call: the one of its host with the longest matching path prefix. */
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

/** The queues of a configuration indexed by name, as a configuration may have thousands. */
function indexByName(config: FleetConfig): ReadonlyMap<QueueName, Queue> {
	let index = indexes.get(config);
	if (!index) {
		index = new Map(config.queues.map(queue => [queue.name, queue]));
		indexes.set(config, index);
	}

	return index;
}

const accountIndexes = new WeakMap<FleetConfig, ReadonlyMap<AccountName, ClientAccount>>();

/** The client account of that name in a configuration. */
export function findAccount(config: FleetConfig | undefined, name: AccountName): ClientAccount | undefined {
	if (!config?.accounts) {
		return undefined;
	}

	let index = accountIndexes.get(config);
	if (!index) {
		index = new Map(config.accounts.map(account => [account.name, account]));
		accountIndexes.set(config, index);
	}

	return index.get(name);
}

export function getQueue(state: SchedulerState, name: QueueName): Queue | undefined {
	return state.config && indexByName(state.config).get(name);
}

export function getPoolConfig(state: SchedulerState, name: PoolName): PoolConfig | undefined {
	return state.config?.pools.find(pool => pool.name === name);
}

/** The pool whose workers may run a job; if its queue no longer exists, the pool stored when the job was accepted. */
export function getPoolOfJob(state: SchedulerState, job: Job): PoolName {
	return getQueue(state, job.definition.queue)?.pool ?? job.definition.pool;
}

/** How many failed attempts a task of a job may have; if its queue no longer exists, the limit stored when the job was accepted. */
export function getMaxAttempts(state: SchedulerState, {definition}: Job): number {
	return getQueue(state, definition.queue)?.maxAttempts ?? definition.maxAttempts ?? defaultMaxAttempts;
}

/** True if the operators keep client accounts, so that shares count in the order of steps. */
export function hasAccounts({config}: SchedulerState): boolean {
	return (config?.accounts?.length ?? 0) > 0;
}
