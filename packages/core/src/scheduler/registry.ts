/** The workers that a leader knows: from service discovery, and from stored starts. */
import {addEffect, noteDecision} from './logging.js';
import {noResources} from './resources.js';
import {getTarget, requestStop, returnTask} from './tasks.js';
import {
	maxClockDrift, leaseSlackMs, lateStartMs, never, registryGraceMs, stopRetryMs, unconfirmedLimitMs, workerLeaseMs,
} from './timing.js';
import type {WorkerEntry, WorkerId} from './types.js';
import type {SchedulerState, Task, Worker} from './state.js';

/** An earlier leader may have renewed a lease until it noticed that it leads no more. */
const earlierLeaderLeaseMs = ((unconfirmedLimitMs + workerLeaseMs) * (1 + maxClockDrift)) + leaseSlackMs;

/** A worker that stored progress names; the registry may fill it in. */
export function ensureWorker(state: SchedulerState, id: WorkerId, bornAt: number): Worker {
	const known = state.workers.get(id);
	if (known) {
		return known;
	}

	const worker: Worker = {
		id,
		bornAt,
		address: '',
		pool: '',
		availabilityZone: '',
		rack: '',
		labels: new Set(),
		capacity: noResources,
		machineId: undefined,
		isDraining: false,
		leavesAt: undefined,
		isListed: false,
		unlistAt: undefined,
		isFenced: false,
		clock: undefined,
		leaseExpiresAt: state.now + earlierLeaderLeaseMs,
		leaseUntilMs: 0,
		lastReadEnd: 0,
		lastStoredEnd: 0,
		lastAckedEnd: 0,
		isPollPending: false,
		pollDueAt: 0,
		lastAnswerAt: state.now,
		missedPolls: 0,
		tasks: new Map(),
		longRunningTasks: 0,
		lateStarts: [],
		unknownRuns: new Map(),
		used: noResources,
		isReserved: false,
		quarantinedUntil: 0,
		failures: [],
		lastDoneAt: 0,
		quarantineCount: 0,
		idleSince: state.now,
	};
	state.workers.set(id, worker);
	return worker;
}

/** Takes the list of service discovery over; what is not on it gets no new work. */
export function updateWorkers(state: SchedulerState, entries: readonly WorkerEntry[], isReloaded: boolean): void {
	const listed = new Set<WorkerId>();
	for (const entry of entries) {
		if (state.endedWorkers.get(entry.id) === entry.bornAt) {
			continue;
		}

		listed.add(entry.id);
		updateWorker(state, entry);
	}

	for (const worker of state.workers.values()) {
		if (worker.isListed && !listed.has(worker.id)) {
			worker.unlistAt ??= isReloaded ? state.now + registryGraceMs : state.now;
		}
	}

	tickRegistry(state);
	state.needsPlacement = true;
}

function updateWorker(state: SchedulerState, entry: WorkerEntry): void {
	const worker = ensureWorker(state, entry.id, entry.bornAt);
	if (worker.bornAt < entry.bornAt) {
		restartWorker(state, worker, entry.bornAt);
	} else if (worker.bornAt > entry.bornAt) {
		return;
	}

	if (!worker.isListed || worker.isDraining !== entry.isDraining) {
		noteDecision(state, 'worker-listed', {
			workerId: entry.id, pool: entry.pool, isDraining: entry.isDraining, bornAt: entry.bornAt,
		});
	}

	worker.isListed = true;
	worker.unlistAt = undefined;
	worker.address = entry.address;
	worker.pool = entry.pool;
	worker.availabilityZone = entry.availabilityZone;
	worker.capacity = entry.capacity;
	worker.labels = new Set(entry.labels);
	worker.rack = entry.labels.at(-1) ?? '';
	worker.machineId = entry.machineId;
	worker.leavesAt = entry.isDraining ? (worker.leavesAt ?? state.now + (entry.remainingMs ?? 0)) : undefined;
	worker.isDraining = entry.isDraining;
}

/** The worker's process is a new one: nothing of the old one runs any more. */
export function restartWorker(state: SchedulerState, worker: Worker, bornAt: number): void {
	noteDecision(state, 'worker-restarted', {
		workerId: worker.id, bornAt, formerBornAt: worker.bornAt, tasks: worker.tasks.size,
	});
	// Their tasks wait for a stop at the new process.
	const doubtful = listUnreportedTasks(worker);
	clearWorker(state, worker, new Set(doubtful));
	worker.bornAt = bornAt;
	worker.clock = undefined;
	worker.leaseExpiresAt = doubtful.length > 0 ? state.now + lateStartMs : 0;
	worker.leaseUntilMs = 0;
	worker.lastReadEnd = 0;
	worker.lastStoredEnd = 0;
	worker.lastAckedEnd = 0;
	worker.isPollPending = false;
	worker.pollDueAt = 0;
	worker.missedPolls = 0;
	worker.isReserved = false;
	worker.quarantinedUntil = 0;
	worker.failures.length = 0;
	for (const late of worker.lateStarts) {
		late.stopDueAt = state.now;
	}

	for (const task of doubtful) {
		requestStop(state, task);
	}
}

/** Starts that no look has shown: the worker's next process may have carried them out, or may do so yet. */
function listUnreportedTasks(worker: Worker): Task[] {
	return [...worker.tasks.values()].filter(task => task.isSent && !task.isReported);
}

/** The worker's life is over, and no next one is known: all that ran is gone, but for what may be carried out late. */
export function dropIncarnation(state: SchedulerState, worker: Worker): void {
	for (const task of listUnreportedTasks(worker)) {
		noteLateStart(state, worker, task);
	}

	clearWorker(state, worker);
	worker.isListed = false;
	worker.leaseExpiresAt = 0;
	worker.lastReadEnd = 0;
	worker.lastStoredEnd = 0;
	worker.lastAckedEnd = 0;
}

/** Remembers a start that may still be carried out. */
export function noteLateStart(state: SchedulerState, worker: Worker, task: Task): void {
	if (worker.lateStarts.some(late => late.task === task.name && late.run === task.run)) {
		return;
	}

	worker.lateStarts.push({
		task: task.name, run: task.run, forgetAt: state.now + lateStartMs, stopDueAt: never,
	});
}

/** Stops late starts at a worker's new process, until it has confirmed that. */
export function tickLateStarts(state: SchedulerState, worker: Worker): void {
	if (worker.lateStarts.length === 0) {
		return;
	}

	worker.lateStarts = worker.lateStarts.filter(late => late.forgetAt > state.now);
	for (const late of worker.lateStarts) {
		if (late.stopDueAt <= state.now && worker.address !== '') {
			late.stopDueAt = state.now + stopRetryMs;
			addEffect(state, {
				type: 'worker/stop', worker: getTarget(worker), task: late.task, run: late.run, token: state.leadership.token,
			});
		}
	}
}

/** Nothing runs at the worker any more; its tasks wait again. */
export function clearWorker(state: SchedulerState, worker: Worker, kept: ReadonlySet<Task> = new Set()): void {
	for (const task of worker.tasks.values()) {
		if (!kept.has(task)) {
			returnTask(state, task);
		}
	}

	worker.unknownRuns.clear();
	worker.isFenced = false;
}

/** Workers that are missing for long enough get no new work. */
export function tickRegistry(state: SchedulerState): void {
	for (const worker of state.workers.values()) {
		if (worker.isListed && worker.unlistAt !== undefined && state.now >= worker.unlistAt) {
			worker.isListed = false;
			worker.unlistAt = undefined;
			noteDecision(state, 'worker-unlisted', {workerId: worker.id, tasks: worker.tasks.size});
		}
	}
}

/** Forgets workers that left and have nothing of ours; the next life of one may carry a late start out. */
export function removeGoneWorkers(state: SchedulerState): void {
	for (const worker of state.workers.values()) {
		if (!worker.isListed && worker.tasks.size === 0 && worker.lateStarts.length === 0 && !worker.isPollPending && state.now > worker.leaseExpiresAt) {
			state.workers.delete(worker.id);
		}
	}
}
