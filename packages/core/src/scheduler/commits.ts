/** Appends the leader's changes to the ledger in batches, and carries out the actions that depend on them once they are stored. */
import {storeJobProgress} from './job-progress.js';
import {dropLiveJobIfEnded} from './jobs.js';
import {addEffect} from './logging.js';
import {listRecentOrders, sendStoredOrder} from './machine-orders.js';
import {listOpenLeases} from './open-leases.js';
import {isFinal} from './phases.js';
import {listPartNames} from './progress-parts.js';
import {queueStart} from './call-window.js';
import {takeRunTimesRecord} from './run-time-record.js';
import {commitPauseMs, commitRetryMs, leaderHeartbeatMs} from './timing.js';
import type {SchedulerEvent} from './events.js';
import type {LedgerRecord} from './types.js';
import type {Commit, PendingAction, SchedulerState} from './state.js';

/** An append without an answer is sent again after this time at the earliest. */
const minRepeatMs = 200;
/** The same as a multiple of the usual time. */
const repeatFactor = 3;
/** Weight of the latest append in the mean time. */
const commitTimeWeight = 0.5;

type CommitEnded = Extract<SchedulerEvent, {type: 'commit/ended'}>;

/** Appends pending changes, one batch at a time, or a heartbeat if there have been none for a while. */
export function tickCommits(state: SchedulerState): void {
	const {leadership} = state;
	if (leadership.role !== 'leader') {
		return;
	}

	if (leadership.commit) {
		retryCommit(state, leadership.commit);
		return;
	}

	if (leadership.isHandingOver) {
		return;
	}

	const hasChanges = state.dirtyJobs.size > 0 || state.pendingActions.length > 0 || state.areWavesDirty || state.isConfigDirty || state.removedJobs.size > 0 || state.load.unstored !== undefined;
	if ((hasChanges && state.now >= leadership.commitNotBefore) || state.now >= leadership.heartbeatDueAt) {
		sendCommit(state);
	}
}

function retryCommit(state: SchedulerState, commit: Commit): void {
	if (state.now >= commit.retryAt) {
		commit.attempts++;
		commit.retryAt = state.now + computeRepeatMs(state, commit.attempts);
		addCommitEffect(state, commit);
	}
}

/** How long an append may go without an answer before it is sent again: longer on a slow store, and with each attempt. The store applies only one of them. */
function computeRepeatMs({leadership}: SchedulerState, attempts: number): number {
	return Math.max(minRepeatMs, leadership.meanCommitMs * repeatFactor) * (2 ** (attempts - 1));
}

function sendCommit(state: SchedulerState): void {
	const actions: PendingAction[] = state.pendingActions;
	const records: LedgerRecord[] = [];
	for (const job of state.dirtyJobs) {
		const {progress, records: changed} = storeJobProgress(state, job);
		records.push(...changed);
		actions.push({type: 'publish-phase', job, progress});
	}

	records.push(...listOtherRecords(state));
	state.pendingActions = [];
	state.dirtyJobs.clear();
	const {leadership} = state;
	leadership.commit = {
		number: leadership.nextCommitNumber++, sequence: leadership.nextSequence++, sentAt: state.now, records, actions, retryAt: state.now + computeRepeatMs(state, 1), attempts: 1,
	};
	addCommitEffect(state, leadership.commit);
}

function listOtherRecords(state: SchedulerState): LedgerRecord[] {
	const {leadership, settings} = state;
	const records: LedgerRecord[] = [];
	for (const jobId of state.removedJobs) {
		// Without the job's own record nothing would tell of parts that are left.
		records.push(...listPartNames(state, jobId).map(part => ({type: 'progress-part-removed', jobId, part} as const)), {type: 'progress-removed', jobId});
		state.progressParts.delete(jobId);
		state.earlyProgress.delete(jobId);
	}

	state.removedJobs.clear();
	if (state.areOrdersDirty) {
		state.areOrdersDirty = false;
		records.push({type: 'orders', machineIds: listRecentOrders(state)});
	}

	if (state.areWavesDirty) {
		state.areWavesDirty = false;
		records.push({
			type: 'waves',
			// Of a completed wave no machine is needed any more: all waves ever published are in this record.
			waves: [...state.waves.values()].map(wave => ({wave: wave.definition.wave, doneMachines: wave.isCompleted ? [] : [...wave.doneMachines], isCompleted: wave.isCompleted})),
		});
	}

	if (state.isConfigDirty && state.config) {
		state.isConfigDirty = false;
		records.push({type: 'config', config: state.config});
	}

	records.push(...takeRunTimesRecord(state));
	if (state.load.unstored) {
		records.push({type: 'load', load: state.load.unstored});
		state.load.unstored = undefined;
	}

	// The other records may be too large for the store: an append without any record would confirm nothing.
	if (state.dirtyJobs.size === 0 || state.now >= leadership.openLeasesDueAt) {
		leadership.openLeasesDueAt = state.now + leaderHeartbeatMs;
		records.push({
			type: 'lease', lease: {
				holder: settings.holder, token: leadership.token, isReleased: false, openLeases: listOpenLeases(state),
			},
		});
	}

	return records;
}

function addCommitEffect(state: SchedulerState, commit: Commit): void {
	addEffect(state, {
		type: 'ledger/commit', token: state.leadership.token, sequence: commit.sequence, records: commit.records,
	});
}

const actionHandlers: {[K in PendingAction['type']]: (state: SchedulerState, action: Extract<PendingAction, {type: K}>) => void} = {
	start(state, {task, run}) {
		queueStart(state, task, run);
	},
	'acknowledge-ends'(_state, {worker, bornAt, upTo}) {
		if (worker.bornAt === bornAt) {
			worker.lastStoredEnd = Math.max(worker.lastStoredEnd, Math.min(upTo, worker.lastReadEnd));
		}
	},
	order(state, {machine}) {
		sendStoredOrder(state, machine);
	},
	'publish-phase'(state, {job, progress}) {
		if (job.live) {
			job.phase = progress.phase;
			job.progress = isFinal(job.phase) ? progress : undefined;
			dropLiveJobIfEnded(state, job);
		}
	},
};

function noteCommitTime({leadership, now}: SchedulerState, {sentAt}: Commit): void {
	// The time of sending is unknown if the host may have been suspended since.
	const tookMs = Number.isFinite(sentAt) ? now - sentAt : leadership.meanCommitMs;
	leadership.meanCommitMs += (tookMs - leadership.meanCommitMs) * commitTimeWeight;
}

/** Handles the outcome of an append. */
export function handleCommit(state: SchedulerState, event: CommitEnded): void {
	const {leadership} = state;
	const {commit} = leadership;
	if (commit?.sequence !== event.sequence) {
		return;
	}

	if (event.outcome !== 'stored') {
		commit.retryAt = Math.min(commit.retryAt, state.now + commitRetryMs);
		return;
	}

	noteCommitTime(state, commit);
	leadership.commit = undefined;
	leadership.nextSequence = commit.sequence + (event.appends ?? 1);
	leadership.confirmedAt = commit.sentAt;
	leadership.commitNotBefore = state.now + commitPauseMs;
	// Counted from the sending, so that a slow store does not make the leader look silent.
	leadership.heartbeatDueAt = commit.sentAt + leaderHeartbeatMs;
	for (const action of commit.actions) {
		(actionHandlers[action.type] as (state: SchedulerState, action: PendingAction) => void)(state, action);
	}
}
