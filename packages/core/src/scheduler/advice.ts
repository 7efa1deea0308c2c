/** Tickets for queues whose policy allows only some workers to run a step. */
import {addEffect, noteDecision} from './logging.js';
import {getQueue} from './queues.js';
import type {SchedulerEvent} from './events.js';
import type {
	AdviceQuestion, SchedulerState, StepAdvice, StepRun, Worker,
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

	return step.advice?.known.get(worker.id) === worker.bornAt && !ticket ? 'bad' : 'unknown';
}

/** The latest ticket for a step at this life of a worker; it may have run out. */
export function findTicket({advice}: StepRun, worker: Worker) {
	const ticket = advice?.tickets.get(worker.id);
	return ticket?.bornAt === worker.bornAt ? ticket : undefined;
}

/** Asks which of some workers may run a step; one question at a time. */
export function requestAdvice(state: SchedulerState, step: StepRun, workers: readonly Worker[]): void {
	step.advice ??= {
		askAgainAt: 0, mostNamed: mostWorkersNamed, known: new Map(), tickets: new Map(),
	};
	if (state.adviceQuestion !== undefined || state.now < step.advice.askAgainAt) {
		state.needsPlacement = true;
		return;
	}

	const named = workers.slice(0, step.advice.mostNamed);
	state.adviceQuestion = {step, lives: new Map(named.map(worker => [worker.id, worker.bornAt])), askedAt: state.now};
	addEffect(state, {
		type: 'advice/ask', step: nameStep(step), workerIds: named.map(worker => worker.id), token: state.leadership.token,
	});
}

function nameStep(step: StepRun): string {
	return `${step.occurrence.job.definition.jobId}.${step.occurrence.number}.${step.number}`;
}

/** A worker has refused its ticket: the next question names it again. */
export function dropTicket(state: SchedulerState, {advice}: StepRun, worker: Worker): void {
	if (advice) {
		advice.tickets.delete(worker.id);
		advice.known.delete(worker.id);
		advice.askAgainAt = state.now + adviceRetryMs;
	}
}

/** Takes the answer of the advice service down. It closes the question, whatever has become of the step meanwhile. */
export function handleAdvice(state: SchedulerState, event: AdviceEnded): void {
	const question = state.adviceQuestion;
	if (!question || nameStep(question.step) !== event.step) {
		return;
	}

	state.adviceQuestion = undefined;
	state.needsPlacement = true;
	noteDecision(state, 'advice-ended', {
		step: event.step, asked: event.asked.length, tickets: event.tickets?.length, tookMs: Math.round(state.now - question.askedAt), isOpen: state.openSteps.has(question.step),
	});
	const {advice} = question.step;
	if (!advice) {
		return;
	}

	if (event.tickets) {
		readTickets(state, advice, question, event);
	} else {
		advice.askAgainAt = state.now + adviceRetryMs;
	}
}

/** When a ticket was issued is not known: it was not before the question. */
function readTickets(state: SchedulerState, advice: StepAdvice, {lives, askedAt}: AdviceQuestion, event: AdviceEnded): void {
	for (const [workerId, bornAt] of lives) {
		advice.known.set(workerId, bornAt);
	}

	const validUntil = askedAt + event.validMs;
	const tickets = event.tickets ?? [];
	for (const {workerId, ticket} of tickets) {
		const bornAt = lives.get(workerId);
		if (bornAt !== undefined) {
			advice.tickets.set(workerId, {ticket, bornAt, validUntil});
		}
	}

	// The answer takes longer the more workers are named.
	const isTooLate = tickets.length > 0 && validUntil <= state.now + ticketSlackMs;
	advice.mostNamed = isTooLate ? Math.max(1, Math.floor(lives.size / 2)) : advice.mostNamed;
}
