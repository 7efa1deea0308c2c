/** Sends starts and stops of runs, and handles their outcomes. */
import {isAcknowledging} from './acknowledgements.js';
import {updateUncertainUse} from './account-use.js';
import {dropTicket, findTicket, getTicketState} from './advice.js';
import {isConfirmedWithin} from './confirmation.js';
import {findAnsweringIncarnation} from './incarnations.js';
import {canStillBegin, noteAnsweredStart, noteRepeatedStart} from './late-starts.js';
import {extendLease} from './leases.js';
import {sendExtraPoll} from './extra-polls.js';
import {noteNextIncarnation} from './polls.js';
import {canDisplace} from './displacement.js';
import {addEffect, noteDecision} from './logging.js';
import {isJobOpen} from './phases.js';
import {isUsable, isUsableOrSetAside} from './placement.js';
import {isWithinQuota} from './quotas.js';
import {dropIncarnation, noteLateStart, tickLateStarts} from './registry.js';
import {
	closeStart, hasCallWindow, openStart, type CallWindow,
} from './call-window.js';
import {hasAccounts} from './queues.js';
import {
	confirmTask, getTarget, isOverloaded, noteFailedOn, requestStop, returnTask, returnWithGang, stopGang, type ReturnReason,
} from './tasks.js';
import {
	never, startReportMs, stopRetryMs, unconfirmedLimitMs,
} from './timing.js';
import {compareClass, compareUrgency, computeUrgency} from './urgency.js';
import type {SchedulerEvent, StartOutcome} from './events.js';
import type {
	SchedulerState, StepRun, Task, Worker,
} from './state.js';

type StartEnded = Extract<SchedulerEvent, {type: 'start/ended'}>;
type StopEnded = Extract<SchedulerEvent, {type: 'stop/ended'}>;

/** A worker that refused a start, or left it unanswered, gets no new work for this long. */
const refusalPauseMs = 400;
/** The same for a worker that is unhealthy or not reachable. */
const unhealthyPauseMs = 1000;
/** Starts that wait are ordered at most this often: it takes longer the more of them there are. */
const startOrderMs = 100;

/** Sends the starts that the bound allows, the most urgent ones first. A gang is sent whole, also beyond the bound: its members only run together. */
export function sendQueuedStarts(state: SchedulerState): void {
	const {callWindow, leadership} = state;
	if (callWindow.waitingStarts.length === 0 || leadership.role !== 'leader') {
		return;
	}

	const room = callWindow.limit - callWindow.unansweredStarts.size;
	callWindow.hasHeldBack ||= callWindow.waitingStarts.length > room;
	if (room <= 0) {
		return;
	}

	updateUncertainUse(state);
	if (callWindow.waitingStarts.length > room && state.now >= callWindow.orderDueAt) {
		callWindow.orderDueAt = state.now + startOrderMs;
		sortByUrgency(state);
	}

	const held: CallWindow['waitingStarts'] = [];
	while (callWindow.waitingStarts.length > 0 && hasCallWindow(callWindow)) {
		const starts = takeFirstStarts(state);
		if (starts.some(({task}) => task.worker && isAcknowledging(state, task.worker))) {
			held.push(...starts);
			continue;
		}

		for (const {task, run} of starts) {
			if (sendStart(state, task, run)) {
				openStart(state, task, run);
			}
		}
	}

	// They follow the answers to the acknowledgements.
	callWindow.waitingStarts.unshift(...held);
}

/** Takes the first start out of the queue, and with it those of the other members of its gang. */
function takeFirstStarts({callWindow}: SchedulerState): CallWindow['waitingStarts'] {
	const first = callWindow.waitingStarts.shift()!;
	const {step} = first.task;
	if (!step.definition.isGang) {
		return [first];
	}

	const members = callWindow.waitingStarts.filter(({task}) => task.step === step);
	callWindow.waitingStarts = callWindow.waitingStarts.filter(({task}) => task.step !== step);
	return [first, ...members];
}

function sortByUrgency(state: SchedulerState): void {
	const {callWindow} = state;
	const steps = new Set(callWindow.waitingStarts.map(({task}) => task.step));
	const urgencies = new Map([...steps].map(step => [step, computeUrgency(state, step)]));
	// With accounts, starts of the same class stay in the order of placement, which follows the accounts' shares.
	const compare = hasAccounts(state) ? compareClass : compareUrgency;
	callWindow.waitingStarts.sort((a, b) => compare(urgencies.get(a.task.step)!, urgencies.get(b.task.step)!));
}

/** Sends a start, unless its placement is no longer valid; returns whether it was sent. */
function sendStart(state: SchedulerState, task: Task, run: number): boolean {
	const {worker} = task;
	if (!worker || task.run !== run || task.status !== 'placed' || task.isSent !== task.isRepeatDue) {
		return false;
	}

	// A start renews the worker's lease, which a leader may only do as long as its successor would wait for.
	const untilMs = canStillStart(state, task, worker) && isConfirmedWithin(state, unconfirmedLimitMs) ? extendLease(state, worker) : undefined;
	if (untilMs === undefined) {
		returnUnsent(state, worker, task);
		return false;
	}

	if (task.isRepeatDue) {
		noteRepeatedStart(state, worker, task);
	}

	task.isSent = true;
	task.isRepeatDue = false;
	task.startAttempts++;
	task.conclusiveAfter = never;
	task.sentAt = state.now;
	state.startedWorkers.add(worker.id);
	task.startedAt = state.now;
	task.isStartKnown = true;
	task.isResumed = task.checkpoint !== '';
	addEffect(state, {
		type: 'worker/start',
		worker: getTarget(worker),
		task: task.name,
		run,
		spec: task.step.occurrence.job.definition.spec,
		untilMs,
		token: state.leadership.token,
		checkpoint: task.checkpoint,
		ticket: findTicket(task.step, worker)?.ticket,
	});
	return true;
}

/** True if a start may be sent: the job, the worker, its capacity, the account's cap or the ticket may have changed while the placement was being stored, or since the first attempt. */
function canStillStart(state: SchedulerState, task: Task, worker: Worker): boolean {
	const {step} = task;
	const isAllowed = task.isRepeatDue ? isRepeatable(worker) : isUsableFor(state, step, worker);
	return isJobOpen(step.occurrence.job) && isAllowed && !isOverloaded(worker) && isWithinQuota(state, step) && getTicketState(state, step, worker) === 'good';
}

function isUsableFor(state: SchedulerState, {definition}: StepRun, worker: Worker): boolean {
	return isUsable(state, worker) || (definition.isLongRunning && isUsableOrSetAside(state, worker));
}

/** True if a worker that may have carried a start out already may be sent it again. */
function isRepeatable(worker: Worker): boolean {
	return worker.isPolledByLeader && worker.failedPolls === 0 && !worker.isDraining && worker.reportedBirth === undefined;
}

/** Returns a task whose start was not sent, or was refused. If an earlier attempt may still be carried out, the run is stopped first. */
function returnUnsent(state: SchedulerState, worker: Worker, task: Task, reason: ReturnReason = 'not-started'): void {
	if (task.status === 'running') {
		// A list has shown that an earlier attempt was carried out.
		return;
	}

	if (canStillBegin(worker, task)) {
		requestStop(state, task);
		stopGang(state, task.step);
	} else {
		returnWithGang(state, task, reason);
	}
}

type StartHandler = (state: SchedulerState, worker: Worker, task: Task) => void;

function returnRefused(state: SchedulerState, worker: Worker, task: Task): void {
	returnUnsent(state, worker, task, 'start-refused');
}

const startHandlers: Readonly<Record<StartOutcome, StartHandler>> = {
	started(state, _worker, task) {
		confirmTask(state, task);
		task.conclusiveAfter = state.now;
	},
	fenced() {
		// The reducer has already ended this host's leadership.
	},
	'stale-run': returnRefused,
	late: returnRefused,
	'no-room'(state, worker, task) {
		returnRefused(state, worker, task);
		worker.pausedUntil = Math.max(worker.pausedUntil, state.now + refusalPauseMs);
	},
	'no-ticket'(state, worker, task) {
		dropTicket(state, task.step, worker);
		returnRefused(state, worker, task);
	},
	invalid(state, worker, task) {
		noteFailedOn(task, worker);
		returnRefused(state, worker, task);
		worker.pausedUntil = Math.max(worker.pausedUntil, state.now + refusalPauseMs);
	},
	unhealthy(state, worker, task) {
		returnRefused(state, worker, task);
		worker.pausedUntil = Math.max(worker.pausedUntil, state.now + unhealthyPauseMs);
	},
	'other-life'(state, worker, task) {
		returnTask(state, task, 'start-refused');
		dropIncarnation(state, worker);
		stopGang(state, task.step);
	},
	'not-sent'(state, worker, task) {
		returnRefused(state, worker, task);
		worker.pausedUntil = Math.max(worker.pausedUntil, state.now + unhealthyPauseMs);
	},
	unknown(state, worker, task) {
		worker.pausedUntil = Math.max(worker.pausedUntil, state.now + refusalPauseMs);
		noteLateStart(state, worker, task);
		// The start may have been carried out, or may still be: the worker's report decides, or else a confirmed stop rules the run out.
		if (task.status === 'placed') {
			task.unansweredAt = state.now;
			sendExtraPoll(state, worker);
		}
	},
};

/** Handles the answer to a start. */
export function handleStart(state: SchedulerState, event: StartEnded): void {
	closeStart(state, event.task, event.run, event.outcome !== 'unknown');
	const worker = state.workers.get(event.workerId);
	const task = worker?.tasks.get(event.task);
	if (worker && event.outcome !== 'unknown') {
		noteAnsweredStart(state, worker, event);
	}

	if (worker?.bornAt !== event.bornAt) {
		return;
	}

	if (event.outcome !== 'not-sent') {
		// The next incarnation may have carried it out just now.
		worker.leaseCallAt = state.now;
	}

	if (task?.run !== event.run) {
		return;
	}

	// Logged for every outcome but `started`: also if the start was not sent, or if it is unknown whether it was carried out.
	if (event.outcome !== 'started') {
		noteDecision(state, 'start-refused', {
			task: task.name, run: task.run, workerId: worker.id, outcome: event.outcome,
		});
	}

	// With the outcome `other-life` it is the clock of another worker.
	if (event.outcome !== 'other-life') {
		readStartClock(state, worker, task, event);
	}

	startHandlers[event.outcome](state, worker, task);
}

/** Learns from the clock in the answer to a start which incarnation of the worker has carried it out. */
function readStartClock(state: SchedulerState, worker: Worker, task: Task, {clockMs, outcome}: StartEnded): void {
	const incarnation = findAnsweringIncarnation(worker, {clockMs, sentAt: task.sentAt, at: state.now});
	if (incarnation === 'next') {
		noteNextIncarnation(state, worker, clockMs);
	} else if (incarnation === 'known') {
		worker.clock = {workerMs: clockMs!, sentAt: task.sentAt, at: state.now};
		task.isReported ||= outcome === 'started';
	}
}

/** Handles the answer to a stop. */
export function handleStop(state: SchedulerState, event: StopEnded): void {
	const worker = state.workers.get(event.workerId);
	if (worker?.bornAt !== event.bornAt) {
		return;
	}

	if (event.outcome === 'stopped') {
		confirmLateStop(state, worker, event);
	}

	const task = worker.tasks.get(event.task);
	if (task?.run !== event.run || task.status !== 'stopping') {
		return;
	}

	if (event.outcome === 'other-life') {
		dropIncarnation(state, worker);
		return;
	}

	task.conclusiveAfter = event.outcome === 'stopped' ? state.now : never;
	task.stopDueAt = event.outcome === 'stopped' ? never : state.now + stopRetryMs;
	// Only a poll sent after the stop shows that the run is gone. An open job waits for that, so poll at once.
	if (event.outcome === 'stopped' && isJobOpen(task.step.occurrence.job)) {
		sendExtraPoll(state, worker);
	}
}

function confirmLateStop(state: SchedulerState, worker: Worker, event: StopEnded): void {
	for (const late of worker.lateStarts) {
		if (late.task === event.task && late.run === event.run) {
			late.stopDueAt = never;
			late.isRuledOut = true;
			state.needsPlacement = true;
		}
	}
}

/** Sends stops that were not confirmed again, and those of runs whose start was not answered and which were not reported. */
export function tickStops(state: SchedulerState): void {
	for (const worker of state.workers.values()) {
		tickLateStarts(state, worker);
		for (const task of worker.tasks.values()) {
			const isStopDue = task.status === 'stopping' && worker.address !== '' && task.conclusiveAfter === never && state.now >= task.stopDueAt;
			// The run may be at work. While its step can spare no task, only the worker's report or the end of its lease decides.
			const isReportDue = task.status === 'placed' && state.now >= task.unansweredAt + startReportMs && canDisplace(state, task);
			if (isStopDue || isReportDue) {
				requestStop(state, task);
			}
		}
	}
}
