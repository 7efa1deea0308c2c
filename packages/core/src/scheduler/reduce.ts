/** The scheduler's reducer: applies one event to the state and returns effects. Its monotonic time never goes back. */
import {handleAdvice} from './advice.js';
import {handleCommit, tickCommits} from './commits.js';
import {checkSuspension} from './confirmation.js';
import {judgeSuspects} from './crashes.js';
import {tickHandover} from './handover.js';
import {handlePoll, hasReadStartedJobs, tickPolls} from './polls.js';
import {applyIntake, dropLiveJobIfEnded} from './jobs.js';
import {
	handleClaim, noteConfigured, releaseLeadership, stopLeading, tickClaim, tickLeadership,
} from './leadership.js';
import {loadLedger, readLedger} from './ledger-records.js';
import {tickLoad} from './load-view.js';
import {tickDrainingWorkers} from './draining-workers.js';
import {describeError, noteDecision, noteWarning} from './logging.js';
import {handleOrderOutcome, tickOrders} from './machine-orders.js';
import {handleMachineList, tickMachineList} from './machines.js';
import {tickMoves} from './moves.js';
import {updateFillerPace} from './pacing.js';
import {placeTasks} from './placement.js';
import {tickQuotas} from './quotas.js';
import {removeGoneWorkers, tickRegistry, updateWorkers} from './registry.js';
import {removeOldJobs, replaceEndedJobs} from './retention.js';
import {tickSchedules} from './schedules.js';
import {
	handleStart, handleStop, sendQueuedStarts, tickStops,
} from './starts.js';
import {tickRunTimes} from './run-time-watch.js';
import {updateOpenStep} from './tasks.js';
import {tickTrialPolls} from './trial-polls.js';
import {addWave, handleWaveReport, tickWaves} from './waves.js';
import type {SchedulerEffect} from './effects.js';
import type {SchedulerEvent, SchedulerEventType} from './events.js';
import type {IntakeRecord} from './types.js';
import type {SchedulerState} from './state.js';

type Handlers = {[K in SchedulerEventType]: (state: SchedulerState, event: Extract<SchedulerEvent, {type: K}>) => void};

const handlers: Handlers = {
	'clock/ticked'(state) {
		tickLeadership(state);
		tickClaim(state);
		if (state.isStopping) {
			releaseLeadership(state);
		}

		if (state.leadership.role !== 'leader') {
			return;
		}

		if (hasUnreadJobsTooLong(state)) {
			stopLeading(state, 'jobs with stored progress could not be read from the intake');
			state.leadership.claimNotBefore = state.now + unreadJobsPauseMs;
			return;
		}

		tickHandover(state);
		if (state.leadership.role !== 'leader') {
			return;
		}

		tickJobs(state);
		tickQuotas(state);
		tickStops(state);
		tickTrialPolls(state);
		tickRegistry(state);
		tickMachineList(state);
		tickOrders(state);
		tickWaves(state);
		tickDrainingWorkers(state);
		tickMoves(state);
		tickRunTimes(state);
		tickLoad(state);
		removeOldJobs(state);
		replaceEndedJobs(state);
		removeGoneWorkers(state);
	},
	'stop/requested'(state) {
		releaseLeadership(state);
	},
	'config/read'(state, {config}) {
		if (state.config && state.config.version >= config.version) {
			return;
		}

		noteDecision(state, 'config-in-force', {version: config.version, formerVersion: state.config?.version, queues: config.queues.length});
		noteConfigured(state);
		state.config = config;
		state.isConfigDirty = true;
		state.needsPlacement = true;
	},
	'intake/read'(state, {records, completeAt}) {
		for (const record of records) {
			applyIntakeRecord(state, record);
		}

		state.intakeCompleteAt = Math.max(state.intakeCompleteAt, completeAt ?? state.intakeCompleteAt);
	},
	'ledger/loaded': loadLedger,
	'ledger/read': readLedger,
	'claim/ended': handleClaim,
	'commit/ended': handleCommit,
	'workers/listed'(state, {workers, isReloaded}) {
		if (state.leadership.role === 'leader') {
			updateWorkers(state, workers, isReloaded);
		}
	},
	'start/ended': handleStart,
	'stop/ended': handleStop,
	'poll/ended'(state, event) {
		handlePoll(state, event);
		const worker = state.workers.get(event.workerId);
		if (worker) {
			updateFillerPace(state, worker);
		}
	},
	'pace/ended'(state, event) {
		const task = state.workers.get(event.workerId)?.tasks.get(event.task);
		if (task?.run === event.run && !event.isDone) {
			// The worker may not have applied the pace: the next poll computes and sends it again.
			task.pacePercent = 100;
		}
	},
	'machines/listed': handleMachineList,
	'order/ended': handleOrderOutcome,
	'wave/published': addWave,
	'wave/reported': handleWaveReport,
	'advice/ended': handleAdvice,
};

/**
 * True if the leader has been unable for too long to read all jobs that may have been started. Until it has, it must
 * not poll, so all worker leases would expire: it gives up leadership to another host, which may have read the jobs.
 */
function hasUnreadJobsTooLong(state: SchedulerState): boolean {
	return state.now > state.leadership.leaderSince + unreadJobsLimitMs && !hasReadStartedJobs(state);
}

/** The read offset advances past the whole batch, so one record that cannot be applied must not make the records after it be skipped. */
function applyIntakeRecord(state: SchedulerState, record: IntakeRecord): void {
	try {
		applyIntake(state, record);
	} catch (error) {
		noteWarning(state, 'record-not-applied', {recordType: record.type, reason: describeError(error)});
	}
}

const jobCheckIntervalMs = 50;
/** Shorter than the leases that an earlier leader granted. */
const unreadJobsLimitMs = 2500;
/** How long a host that gave up leadership for this reason leaves claims to others. */
const unreadJobsPauseMs = 3000;

function tickJobs(state: SchedulerState): void {
	if (state.now < state.jobsDueAt) {
		return;
	}

	state.jobsDueAt = state.now + jobCheckIntervalMs;
	tickSchedules(state);
	for (const job of state.liveJobs) {
		dropLiveJobIfEnded(state, job);
	}

	for (const step of state.openSteps) {
		updateOpenStep(state, step);
	}
}

/** Reasons for losing leadership, by the event whose outcome is `fenced`. */
const fencingReasons: Partial<Record<SchedulerEventType, string>> = {
	'commit/ended': 'the ledger has seen a higher token',
	'start/ended': 'a worker has seen a higher token',
	'stop/ended': 'a worker has seen a higher token',
	'poll/ended': 'a worker has seen a higher token',
	'order/ended': 'the platform has seen a higher token',
};

/** True if an event answers a request that this host sent in an earlier term. */
function isOfEarlierTerm({leadership}: SchedulerState, event: SchedulerEvent): boolean {
	return 'token' in event && event.token !== undefined && event.token !== leadership.token;
}

/** True if an event answers a call that was meant for a worker's former incarnation: the present one refuses it because of this leader's own later calls. */
function isOfFormerIncarnation({workers}: SchedulerState, event: SchedulerEvent): boolean {
	return 'workerId' in event && 'bornAt' in event && workers.get(event.workerId)?.bornAt !== event.bornAt;
}

function applyEvent(state: SchedulerState, event: SchedulerEvent): void {
	if (isOfEarlierTerm(state, event)) {
		// `token` is this host's own latest token, not that of the answer.
		noteDecision(state, 'answer-of-earlier-lead', {eventType: event.type, token: state.leadership.token});
		return;
	}

	const reason = fencingReasons[event.type];
	if (reason !== undefined && 'outcome' in event && event.outcome === 'fenced' && !isOfFormerIncarnation(state, event)) {
		stopLeading(state, reason);
		return;
	}

	(handlers[event.type] as (state: SchedulerState, event: SchedulerEvent) => void)(state, event);
}

/** Applies one event to the state, in place, and returns the effects to carry out. */
export function reduceScheduler(state: SchedulerState, event: SchedulerEvent): SchedulerEffect[] {
	state.now = Math.max(state.now, event.at);
	state.wallNow = event.wallAt;
	state.outbox = [];
	try {
		checkSuspension(state, event);
		applyEvent(state, event);
		judgeSuspects(state);
		placeTasks(state);
		tickCommits(state);
		tickPolls(state, 'workerId' in event ? event.workerId : undefined);
		// After the polls, which keep leases alive.
		sendQueuedStarts(state);
	} catch (error) {
		noteWarning(state, 'handler-failed', {eventType: event.type, reason: describeError(error)});
	}

	return state.outbox;
}
