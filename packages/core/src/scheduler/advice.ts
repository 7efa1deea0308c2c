/** Tickets of the advice service, for queues whose policy lets only workers with a ticket run a step. */
import {addEffect, noteDecision} from './logging.js';
import {getQueue} from './queues.js';
import type {SchedulerEvent} from './events.js';
import type {
	AdviceRequest, SchedulerState, StepAdvice, StepRun, Worker,
} from './state.js';

type AdviceEnded = Extract<SchedulerEvent, {type: 'advice/ended'}>;

const initialWorkersPerRequest = 30;
const adviceRetryMs = 200;
/** A ticket that expires sooner than this is not used for a start. */
const ticketSlackMs = 150;

/** Whether a worker may run a step: `good` if it has a valid ticket or needs none, `bad` if the service gave it none, else `unknown`. */
export function getTicketState(state: SchedulerState, step: StepRun, worker: Worker): 'good' | 'bad' | 'unknown' {
	const policy = getQueue(state, step.occurrence.job.definition.queue)?.advice;
	if (!policy) {
		return 'good';
	}

	const ticket = findTicket(step, worker);
	if (ticket && ticket.validUntil > state.now + ticketSlackMs) {
		return 'good';
	}

	return step.advice?.answeredIncarnations.get(worker.id) === worker.bornAt && !ticket ? 'bad' : 'unknown';
}

/** The latest ticket for a step on this incarnation of a worker; it may have expired. */
export function findTicket({advice}: StepRun, worker: Worker) {
	const ticket = advice?.tickets.get(worker.id);
	return ticket?.bornAt === worker.bornAt ? ticket : undefined;
}

/** Asks the advice service which of some workers may run a step; only one request is open at a time. */
export function requestAdvice(state: SchedulerState, step: StepRun, workers: readonly Worker[]): void {
	step.advice ??= {
		nextRequestAt: 0, maxWorkersPerRequest: initialWorkersPerRequest, answeredIncarnations: new Map(), tickets: new Map(),
	};
	if (state.adviceRequest !== undefined || state.now < step.advice.nextRequestAt) {
		state.needsPlacement = true;
		return;
	}

	const askedWorkers = workers.slice(0, step.advice.maxWorkersPerRequest);
	state.adviceRequest = {step, incarnations: new Map(askedWorkers.map(worker => [worker.id, worker.bornAt])), requestedAt: state.now};
	addEffect(state, {
		type: 'advice/request', step: formatStepName(step), workerIds: askedWorkers.map(worker => worker.id), token: state.leadership.token,
	});
}

function formatStepName(step: StepRun): string {
	return `${step.occurrence.job.definition.jobId}.${step.occurrence.number}.${step.number}`;
}

/** Drops a ticket that its worker has refused, so that the next request includes the worker again. */
export function dropTicket(state: SchedulerState, {advice}: StepRun, worker: Worker): void {
	if (advice) {
		advice.tickets.delete(worker.id);
		advice.answeredIncarnations.delete(worker.id);
		advice.nextRequestAt = state.now + adviceRetryMs;
	}
}

/** Handles the answer of the advice service. It closes the request even if the step has finished in the meantime. */
export function handleAdvice(state: SchedulerState, event: AdviceEnded): void {
	const request = state.adviceRequest;
	if (!request || formatStepName(request.step) !== event.step) {
		return;
	}

	state.adviceRequest = undefined;
	state.needsPlacement = true;
	noteDecision(state, 'advice-ended', {
		step: event.step, asked: event.workerIds.length, tickets: event.tickets?.length, tookMs: Math.round(state.now - request.requestedAt), isOpen: state.openSteps.has(request.step),
	});
	const {advice} = request.step;
	if (!advice) {
		return;
	}

	if (event.tickets) {
		storeTickets(state, advice, request, event);
	} else {
		advice.nextRequestAt = state.now + adviceRetryMs;
	}
}

/** Stores the tickets of an answer. They were issued at an unknown time after the request, so validity is counted from the request. */
function storeTickets(state: SchedulerState, advice: StepAdvice, {incarnations, requestedAt}: AdviceRequest, event: AdviceEnded): void {
	for (const [workerId, bornAt] of incarnations) {
		advice.answeredIncarnations.set(workerId, bornAt);
	}

	const validUntil = requestedAt + event.validMs;
	const tickets = event.tickets ?? [];
	for (const {workerId, ticket} of tickets) {
		const bornAt = incarnations.get(workerId);
		if (bornAt !== undefined) {
			advice.tickets.set(workerId, {ticket, bornAt, validUntil});
		}
	}

	// An answer takes longer the more workers it is about.
	const areTicketsExpired = tickets.length > 0 && validUntil <= state.now + ticketSlackMs;
	advice.maxWorkersPerRequest = areTicketsExpired ? Math.max(1, Math.floor(incarnations.size / 2)) : advice.maxWorkersPerRequest;
}
