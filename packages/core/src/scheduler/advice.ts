/** Tickets for queues whose policy allows only some workers to run a step. */
import {addEffect, noteDecision} from './logging.js';
import {getQueue} from './queues.js';
import type {SchedulerEvent} from './events.js';
import type {
	AdviceRequest, SchedulerState, StepAdvice, StepRun, Worker,
} from './state.js';

type AdviceEnded = Extract<SchedulerEvent, {type: 'advice/ended'}>;

const mostWorkersNamed = 30;
const adviceRetryMs = 200;
/** A ticket that ends sooner is not used for a start. */
const ticketSlackMs = 150;

/** Whether a worker may run a step: `good` with a ticket or without need of one. */
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

/** The latest ticket for a step at this life of a worker; it may have run out. */
export function findTicket({advice}: StepRun, worker: Worker) {
	const ticket = advice?.tickets.get(worker.id);
	return ticket?.bornAt === worker.bornAt ? ticket : undefined;
}

/** Asks which of some workers may run a step; one question at a time. */
export function requestAdvice(state: SchedulerState, step: StepRun, workers: readonly Worker[]): void {
	step.advice ??= {
		nextRequestAt: 0, maxWorkersPerRequest: mostWorkersNamed, answeredIncarnations: new Map(), tickets: new Map(),
	};
	if (state.adviceRequest !== undefined || state.now < step.advice.nextRequestAt) {
		state.needsPlacement = true;
		return;
	}

	const named = workers.slice(0, step.advice.maxWorkersPerRequest);
	state.adviceRequest = {step, incarnations: new Map(named.map(worker => [worker.id, worker.bornAt])), requestedAt: state.now};
	addEffect(state, {
		type: 'advice/request', step: nameStep(step), workerIds: named.map(worker => worker.id), token: state.leadership.token,
	});
}

function nameStep(step: StepRun): string {
	return `${step.occurrence.job.definition.jobId}.${step.occurrence.number}.${step.number}`;
}

/** A worker has refused its ticket: the next question names it again. */
export function dropTicket(state: SchedulerState, {advice}: StepRun, worker: Worker): void {
	if (advice) {
		advice.tickets.delete(worker.id);
		advice.answeredIncarnations.delete(worker.id);
		advice.nextRequestAt = state.now + adviceRetryMs;
	}
}

/** Takes the answer of the advice service down. It closes the question, whatever has become of the step meanwhile. */
export function handleAdvice(state: SchedulerState, event: AdviceEnded): void {
	const question = state.adviceRequest;
	if (!question || nameStep(question.step) !== event.step) {
		return;
	}

	state.adviceRequest = undefined;
	state.needsPlacement = true;
	noteDecision(state, 'advice-ended', {
		step: event.step, asked: event.workerIds.length, tickets: event.tickets?.length, tookMs: Math.round(state.now - question.requestedAt), isOpen: state.openSteps.has(question.step),
	});
	const {advice} = question.step;
	if (!advice) {
		return;
	}

	if (event.tickets) {
		readTickets(state, advice, question, event);
	} else {
		advice.nextRequestAt = state.now + adviceRetryMs;
	}
}

/** When a ticket was issued is not known: it was not before the question. */
function readTickets(state: SchedulerState, advice: StepAdvice, {incarnations, requestedAt}: AdviceRequest, event: AdviceEnded): void {
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

	// The answer takes longer the more workers are named.
	const isTooLate = tickets.length > 0 && validUntil <= state.now + ticketSlackMs;
	advice.maxWorkersPerRequest = isTooLate ? Math.max(1, Math.floor(incarnations.size / 2)) : advice.maxWorkersPerRequest;
}
