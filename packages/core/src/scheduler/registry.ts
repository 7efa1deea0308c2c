/** The workers that a leader knows, from the registry and from stored progress. */
import {getCharge, noteUncertainWorker} from './account-use.js';
import {passAcknowledgements, noteUnansweredAcknowledgement} from './acknowledgements.js';
import {noteWorkerLost} from './crashes.js';
import {getLeaseEnd} from './incarnations.js';
import {hasLateCalls} from './late-calls.js';
import {addEffect, noteDecision} from './logging.js';
import {getOpenLeaseEnd} from './open-leases.js';
import {isBirthCertain, takeCertainEntry} from './reported-births.js';
import {noResources} from './resources.js';
import {
	getNeed, getTarget, isOverloaded, markChanged, requestStop, returnExcessTasks, returnTask, type ReturnReason,
} from './tasks.js';
import {
	lateStartMs, never, registryGraceMs, stopRetryMs,
} from './timing.js';
import type {SteadyMs, WorkerEntry, WorkerId} from './types.js';
import type {
	LateStart, SchedulerState, Task, Worker,
} from './state.js';

/** Returns a known worker, or adds one with empty attributes; `updateWorkers` fills them in if the registry lists it. */
export function ensureWorker(state: SchedulerState, id: WorkerId, bornAt: number): Worker {
	const known = state.workers.get(id);
	if (known) {
		return known;
	}

	const worker: Worker = {
		id,
		bornAt,
		restarts: state.workerRestarts.get(id) ?? 0,
		sequence: 0,
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
		reportedBirth: undefined,
		rejectedBornAt: 0,
		isPolledByLeader: false,
		clock: undefined,
		leaseExpiresAt: state.leadership.earlierLeasesUntil,
		leaseCallAt: state.leadership.earlierCallsUntil,
		formerCallsOpenUntil: state.leadership.earlierCallsUntil + lateStartMs,
		hasFormerLeases: state.now < state.leadership.earlierCallsUntil + lateStartMs,
		longLeaseUntil: getOpenLeaseEnd(state, id),
		leaseUntilMs: 0,
		lastReadEnd: 0,
		lastStoredEnd: 0,
		lastAckedEnd: 0,
		sentAck: 0,
		unansweredAck: undefined,
		hiddenEnds: undefined,
		isPollPending: false,
		isLeasePollPending: false,
		pollSentAt: 0,
		pollDueAt: 0,
		lastAnswerAt: state.now,
		silentMs: 0,
		failedPolls: 0,
		silentSince: 0,
		tasks: new Map(),
		longRunningTasks: 0,
		lateStarts: [],
		unknownRuns: new Map(),
		used: noResources,
		isReserved: false,
		pausedUntil: 0,
		quarantinedUntil: 0,
		failures: [],
		lastSuccessAt: 0,
		quarantineCount: 0,
		idleSince: state.now,
	};
	state.workers.set(id, worker);
	return worker;
}

/** Applies the worker list of the registry. A worker that it lacks becomes unlisted, after a grace period if the list comes from a reload, and then gets no new work. */
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
		if (!isBirthCertain(state, worker, entry)) {
			worker.unlistAt = undefined;
			return;
		}

		restartWorker(state, worker, entry.bornAt);
	} else if (worker.bornAt > entry.bornAt || (entry.sequence ?? worker.sequence) < worker.sequence) {
		// A reload of the registry may be older than what was read before. It still shows that the registry has the worker.
		worker.unlistAt = worker.bornAt === entry.bornAt ? undefined : worker.unlistAt;
		return;
	}

	if (!worker.isListed || worker.isDraining !== entry.isDraining) {
		noteDecision(state, 'worker-listed', {
			workerId: entry.id, pool: entry.pool, isDraining: entry.isDraining, bornAt: entry.bornAt,
		});
	}

	worker.isListed = true;
	worker.unlistAt = undefined;
	worker.sequence = entry.sequence ?? 0;
	worker.address = entry.address;
	worker.pool = entry.pool;
	worker.availabilityZone = entry.availabilityZone;
	worker.capacity = entry.capacity;
	worker.labels = new Set(entry.labels);
	worker.rack = entry.labels.at(-1) ?? '';
	worker.machineId = entry.machineId;
	// The earliest that a report has told: reports may arrive late.
	worker.leavesAt = entry.isDraining ? Math.min(worker.leavesAt ?? never, state.now + (entry.remainingMs ?? 0)) : undefined;
	worker.isDraining = entry.isDraining;
	if (isOverloaded(worker)) {
		returnExcessTasks(state, worker);
	}
}

/** Handles a new incarnation of a worker, which was born by `bornBy` on this host's clock: the runs of the previous one are gone, except that unreported starts may reach the new one. */
export function restartWorker(state: SchedulerState, worker: Worker, bornAt: number, bornBy: SteadyMs = never): void {
	noteDecision(state, 'worker-restarted', {
		workerId: worker.id,
		bornAt,
		formerBornAt: worker.bornAt,
		tasks: worker.tasks.size,
		unreported: listUnreportedTasks(worker).length,
		leaseUntilMs: worker.leaseUntilMs,
		leaseCallMsAgo: worker.leaseCallAt === Number.NEGATIVE_INFINITY ? undefined : Math.round(state.now - worker.leaseCallAt),
	});
	noteWorkerLost(state, worker, true, bornBy);
	passAcknowledgements(state, worker);
	// These tasks stay assigned until the new incarnation has confirmed a stop.
	const unreported = listUnreportedTasks(worker);
	clearWorker(state, worker, 'worker-restarted', new Set(unreported));
	worker.bornAt = bornAt;
	worker.restarts++;
	state.workerRestarts.set(worker.id, worker.restarts);
	clearAttributes(worker);
	worker.clock = undefined;
	worker.formerCallsOpenUntil = Math.max(worker.formerCallsOpenUntil, worker.leaseCallAt + lateStartMs);
	worker.hasFormerLeases = state.now < worker.formerCallsOpenUntil;
	worker.leaseCallAt = Number.NEGATIVE_INFINITY;
	worker.leaseExpiresAt = 0;
	// Keeps the unreported tasks assigned while a late start may still be carried out.
	worker.longLeaseUntil = unreported.length > 0 ? state.now + lateStartMs : 0;
	worker.leaseUntilMs = 0;
	worker.lastReadEnd = 0;
	worker.lastStoredEnd = 0;
	worker.lastAckedEnd = 0;
	worker.isPollPending = false;
	worker.isLeasePollPending = false;
	worker.pollDueAt = 0;
	worker.failedPolls = 0;
	worker.isReserved = false;
	worker.pausedUntil = 0;
	worker.quarantinedUntil = 0;
	worker.failures.length = 0;
	worker.rejectedBornAt = 0;
	const {reportedBirth} = worker;
	worker.reportedBirth = undefined;
	for (const task of unreported) {
		noteLateStart(state, worker, task);
		// Its stored row names the former incarnation.
		markChanged(state, task);
	}

	for (const late of worker.lateStarts) {
		// The others are stopped below.
		late.stopDueAt = worker.tasks.get(late.task)?.run === late.run ? never : state.now;
		late.isRuledOut = false;
	}

	for (const task of unreported) {
		requestStop(state, task);
	}

	if (reportedBirth?.entry.bornAt === bornAt) {
		updateWorker(state, reportedBirth.entry);
	}
}

/** A new incarnation may be of another kind: until the registry lists it, nothing is known of it that tasks are placed by. */
function clearAttributes(worker: Worker): void {
	worker.sequence = 0;
	worker.pool = '';
	worker.capacity = noResources;
	worker.labels = new Set();
	worker.rack = '';
	worker.leavesAt = undefined;
}

/** Tasks whose start was sent and that the known incarnation has not shown to have begun: the worker's next one may have carried out the start, or may still do so. */
export function listUnreportedTasks(worker: Worker): Task[] {
	return [...worker.tasks.values()].filter(task => task.isSent && !task.isReported);
}

/** Handles the end of a worker's incarnation when no newer one is known: its runs are gone, except for starts that may still be carried out. */
export function dropIncarnation(state: SchedulerState, worker: Worker): void {
	noteWorkerLost(state, worker, true);
	noteUnansweredAcknowledgement(state, worker);
	for (const task of listUnreportedTasks(worker)) {
		noteLateStart(state, worker, task);
	}

	for (const late of worker.lateStarts) {
		late.isRuledOut = false;
	}

	clearWorker(state, worker, 'worker-gone');
	worker.isListed = false;
	worker.clock = undefined;
	worker.leaseExpiresAt = 0;
	worker.longLeaseUntil = 0;
	worker.lastReadEnd = 0;
	worker.lastStoredEnd = 0;
	worker.lastAckedEnd = 0;
}

/** Records a start that was sent by `sentBy` and may still be carried out. */
export function noteLateStart(state: SchedulerState, worker: Worker, task: Task, sentBy: SteadyMs = state.now): void {
	if (worker.lateStarts.some(late => late.task === task.name && late.run === task.run)) {
		return;
	}

	const late: LateStart = {
		task: task.name, run: task.run, need: getNeed(task), openCalls: 1, forgetAt: sentBy + lateStartMs, stopDueAt: never, charge: getCharge(task),
	};
	worker.lateStarts.push(late);
	task.lateStarts = [...task.lateStarts.filter(({late: {forgetAt}}) => forgetAt > state.now), {worker, late}];
	noteUncertainWorker(state, worker);
}

/** Sends stops for late starts whose task is not assigned to the worker any more until it has confirmed them. */
export function tickLateStarts(state: SchedulerState, worker: Worker): void {
	if (worker.lateStarts.length === 0) {
		return;
	}

	const lateStarts = worker.lateStarts.filter(late => late.forgetAt > state.now);
	state.needsPlacement ||= lateStarts.length < worker.lateStarts.length;
	worker.lateStarts = lateStarts;
	for (const late of worker.lateStarts) {
		if (late.stopDueAt <= state.now && worker.isListed && worker.address !== '') {
			late.stopDueAt = state.now + stopRetryMs;
			addEffect(state, {
				type: 'worker/stop', worker: getTarget(worker), task: late.task, run: late.run, token: state.leadership.token,
			});
		}
	}
}

/** Returns all tasks of a worker on which nothing runs any more, apart from those in `kept`, to the waiting tasks. */
export function clearWorker(state: SchedulerState, worker: Worker, reason: ReturnReason, kept: ReadonlySet<Task> = new Set()): void {
	for (const task of worker.tasks.values()) {
		if (!kept.has(task)) {
			returnTask(state, task, reason);
		}
	}

	worker.unknownRuns.clear();
	worker.isPolledByLeader = false;
}

/** Unlists workers that have been missing from the registry for long enough, and follows up restarts that only the registry has told. */
export function tickRegistry(state: SchedulerState): void {
	for (const worker of state.workers.values()) {
		const entry = takeCertainEntry(state, worker);
		if (entry) {
			restartWorker(state, worker, entry.bornAt);
		}

		if (worker.isListed && worker.unlistAt !== undefined && state.now >= worker.unlistAt) {
			worker.isListed = false;
			worker.unlistAt = undefined;
			noteDecision(state, 'worker-unlisted', {workerId: worker.id, tasks: worker.tasks.size});
		}
	}
}

/** Removes workers that are unlisted and hold no tasks or leases. One with late calls is kept: its next incarnation may carry them out. */
export function removeGoneWorkers(state: SchedulerState): void {
	for (const worker of state.workers.values()) {
		if (!worker.isListed && worker.tasks.size === 0 && !hasLateCalls(state, worker) && !worker.isPollPending && state.now > getLeaseEnd(worker)) {
			state.workers.delete(worker.id);
		}
	}
}
