/** Leases of workers: until when their runs may go on without hearing from a leader, also if another incarnation than the known one has carried out its calls. */
import {noteWorkerLost} from './crashes.js';
import {getLeaseEnd} from './incarnations.js';
import {addLongestLease} from './lease-bounds.js';
import {noteDecision, noteWarning} from './logging.js';
import {describeMachineOf} from './machine-evidence.js';
import {clearWorker, listUnreportedTasks, noteLateStart} from './registry.js';
import {
	leaseHorizonMs, leaseSlackMs, longestGrantMs, maxClockDrift, never, workerLeaseMs,
} from './timing.js';
import {hasSentTasks} from './tasks.js';
import type {SchedulerState, Task, Worker} from './state.js';

/**
 * Extends a worker's lease to `workerLeaseMs` from now, but not beyond the horizon, and returns the expiry on the worker's
 * clock; undefined if it would be over at once, or the clock is not known yet. The upper bound on this host's clock allows for drift since the clock was read.
 */
export function extendLease(state: SchedulerState, worker: Worker): number | undefined {
	if (!worker.clock) {
		return undefined;
	}

	const age = state.now - worker.clock.at;
	const leaseMs = Math.min(workerLeaseMs, state.settings.maxLeaseMs);
	// The worker's clock may be slow since it was read: less of its time than of this host's may pass.
	const wantedMs = Math.min(age + leaseMs, (age + longestGrantMs) * (1 - maxClockDrift));
	const allowedMs = (state.leadership.confirmedAt + leaseHorizonMs - worker.clock.at) * (1 - maxClockDrift);
	if (allowedMs <= age) {
		return undefined;
	}

	worker.leaseUntilMs = Math.max(worker.leaseUntilMs, Math.floor(worker.clock.workerMs + Math.min(wantedMs, allowedMs)));
	worker.leaseExpiresAt = Math.max(worker.leaseExpiresAt, state.now + ((leaseMs + (age * maxClockDrift)) / (1 - maxClockDrift)) + leaseSlackMs);
	worker.leaseCallAt = state.now;
	return worker.leaseUntilMs;
}

/**
 * From its first answer on, an incarnation refuses calls meant for its former one, and those of earlier leaders: they have a
 * lower fencing token.
 */
export function noteFirstAnswer(state: SchedulerState, worker: Worker, clockMs: number | undefined): void {
	if (worker.hasFormerLeases && !hasConfirmedRun(worker)) {
		worker.longLeaseUntil = addLongestLease(state, state.now);
		noteLongLease(state, worker, clockMs);
	}

	worker.hasFormerLeases = false;

	if (worker.hiddenEnds?.settledAt === never) {
		worker.hiddenEnds.settledAt = state.now;
	}
}

function noteLongLease(state: SchedulerState, worker: Worker, clockMs: number | undefined): void {
	// After a change of the lead all idle workers are in doubt.
	if (worker.restarts > 0 || worker.tasks.size > 0) {
		noteDecision(state, 'long-lease-possible', {
			workerId: worker.id, bornAt: worker.bornAt, clockMs, lastsMs: Math.round(worker.longLeaseUntil - state.now), tasks: worker.tasks.size,
		});
	}
}

/** True if an earlier leader has told that the worker's process carried out a start of its own: since then it has refused calls that were meant for former ones. */
function hasConfirmedRun({restarts, tasks}: Worker): boolean {
	return restarts === 0 && [...tasks.values()].some(({isReported}) => isReported);
}

/** All runs of an unreachable worker are over once its lease has expired on every clock: later for those that its next incarnation may have begun. */
export function expireLease(state: SchedulerState, worker: Worker): void {
	if (state.now <= getLeaseEnd(worker) || !hasSentTasks(worker)) {
		return;
	}

	if (worker.failedPolls === 0 && worker.isPollPending) {
		return;
	}

	const kept = state.now <= addLongestLease(state, worker.leaseCallAt) ? new Set(listUnreportedTasks(worker)) : new Set<Task>();
	if (kept.size > 0 && kept.size === worker.tasks.size) {
		return;
	}

	noteWarning(state, 'lease-lapsed', {
		workerId: worker.id,
		bornAt: worker.bornAt,
		restarts: worker.restarts,
		tasks: worker.tasks.size,
		keptTasks: kept.size,
		silentMs: Math.round(state.now - worker.lastAnswerAt),
		grantedBy: worker.leaseExpiresAt > state.leadership.earlierLeasesUntil ? 'this-leader' : 'earlier-leader',
		...describeMachineOf(state, worker),
	});
	noteWorkerLost(state, worker, false);
	noteEarlierStarts(state, worker, kept);
	clearWorker(state, worker, 'lease-lapsed', kept);
}

/** Starts of an earlier leader that are not known to have been answered may still be carried out. They are noted only here: a new leader may restore very many. */
function noteEarlierStarts(state: SchedulerState, worker: Worker, kept: ReadonlySet<Task>): void {
	for (const task of listUnreportedTasks(worker)) {
		if (!task.isStartKnown && !kept.has(task)) {
			noteLateStart(state, worker, task, state.leadership.earlierCallsUntil);
		}
	}
}
