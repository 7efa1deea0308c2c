/** Tickets for queues whose policy allows only some workers to run a step. */
import {addEffect, noteDecision} from './logging.js';
import {getQueue} from './queues.js';
import type {SchedulerEvent} from './events.js';
import type {SchedulerState, StepRun, Worker} from './state.js';

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

	const ticket = step.advice?.tickets.get(worker.id);
	if (ticket && ticket.validUntil > state.now + ticketSlackMs) {
		return 'good';
	}

	return step.advice?.known.has(worker.id) && !ticket ? 'bad' : 'unknown';
}

/** Asks which of some workers may run a step; one question at a time. */
export function requestAdvice(state: SchedulerState, step: StepRun, workers: readonly Worker[]): void {
	step.advice ??= {
		isAsked: false, askAgainAt: 0, known: new Set(), tickets: new Map(),
	};
	if (state.isAdviceAsked || step.advice.isAsked || state.now < step.advice.askAgainAt) {
		state.needsPlacement = true;
		return;
	}

	state.isAdviceAsked = true;
	step.advice.isAsked = true;
	addEffect(state, {type: 'advice/ask', step: nameStep(step), workerIds: workers.slice(0, mostWorkersNamed).map(worker => worker.id)});
}

function nameStep(step: StepRun): string {
	return `${step.occurrence.job.definition.jobId}.${step.occurrence.number}.${step.number}`;
}

/** Takes the answer of the advice service down. */
export function handleAdvice(state: SchedulerState, event: AdviceEnded): void {
	state.isAdviceAsked = false;
	state.needsPlacement = true;
	const step = [...state.openSteps].find(open => nameStep(open) === event.step);
	if (!step?.advice) {
		return;
	}

	step.advice.isAsked = false;
	if (!event.tickets) {
		step.advice.askAgainAt = state.now + adviceRetryMs;
		noteDecision(state, 'advice-missing', {step: event.step, asked: event.asked.length});
		return;
	}

	for (const workerId of event.asked) {
		step.advice.known.add(workerId);
	}

	for (const {workerId, ticket} of event.tickets) {
		step.advice.tickets.set(workerId, {ticket, validUntil: state.now + event.validMs});
	}
}
