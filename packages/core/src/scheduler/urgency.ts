/**
 * Order of steps when there is more work than capacity: steps of jobs that can still meet their latency objective come
 * first, those of jobs that cannot come last.
 *
 * In order of arrival alone, every job would wait for the whole queue and miss its objective, whereas a job that has
 * already missed it loses little by waiting longer.
 */
import {getQueue, hasAccounts} from './queues.js';
import {findLearnedEstimate, isLearningUsed, isResuming} from './run-times.js';
import type {SchedulerState, StepRun} from './state.js';

const lowestPriority = 9;
/**
 * The slowest of several tasks of a step takes this many times their estimated run time. Learned 90th percentiles in its place
 * make most jobs of a burst look late, and those are served by arrival.
 */
export const stragglerFactor = 1.15;
/** Approximate time that storing, starting, detecting the end and publishing the result add to a job's own work. */
export const overheadMs = 300;
/** Share of the remaining work that a job needs as slack to be started ahead of others: one that is started and then late has used their capacity for nothing. */
export const slackShare = 0.35;

/** A job that ends later than its objective times this factor is of no use to its caller. */
export const usefulFactor = 3;

export type Urgency = {
	readonly step: StepRun;
	/** The job can no longer end in time to be of any use. */
	readonly isOfNoUse: boolean;
	/** The job exceeds the rate of its account. */
	readonly isExcess: boolean;
	readonly priority: number;
	/** The job can no longer meet its latency objective. */
	readonly isObjectiveUnreachable: boolean;
	/** The job would meet its objective even if its work took longer than expected, or has started. */
	readonly hasSlack: boolean;
	/** The job has started. */
	readonly hasStarted: boolean;
	/** When the caller first sent the job. */
	readonly acceptedAt: number;
};

/** False where jobs may be refused by their expected wait: it assumes the order without this class. */
function isUseJudged({config, settings}: SchedulerState): boolean {
	return config?.accounts === undefined && settings.isAdmissionEnabled !== true;
}

/** Computes what the order of a step depends on. */
export function computeUrgency(state: SchedulerState, step: StepRun): Urgency {
	const {job} = step.occurrence;
	const queue = getQueue(state, job.definition.queue);
	const isLearned = isLearningUsed(state, 'order');
	let totalMs = 0;
	let remainingMs = 0;
	for (const [number, definition] of job.definition.steps.entries()) {
		const longestFactor = definition.count > 1 ? stragglerFactor : 1;
		const learned = isLearned ? findLearnedEstimate(state, job, number) : undefined;
		// A learned time is that of the work itself, from which the objective follows.
		totalMs += learned?.p50Ms ?? (definition.estimateMs * longestFactor);
		if (number >= step.number) {
			const rest = learned && number === step.number && isResuming(step) ? findLearnedEstimate(state, job, number, true) : learned;
			remainingMs += (rest?.p50Ms ?? definition.estimateMs) * longestFactor;
		}
	}

	const objectiveMs = ((queue?.stretch ?? 1) * totalMs) + (queue?.latencyTargetMs ?? 0);
	const hasStarted = job.live?.hasStarted ?? false;
	const isTimed = !step.definition.isLongRunning && job.definition.runCount === 0;
	const leftMs = isTimed ? job.sentAt + objectiveMs - state.now - remainingMs - overheadMs : Number.POSITIVE_INFINITY;
	const requiredSlackMs = remainingMs * slackShare;
	return {
		step,
		isOfNoUse: isTimed && isUseJudged(state) && job.sentAt + (objectiveMs * usefulFactor) < state.now + remainingMs,
		isExcess: job.isExcess,
		priority: queue?.priority ?? lowestPriority,
		// Fleets without client accounts keep their former order, in which jobs without slack count as late.
		isObjectiveUnreachable: leftMs < (hasAccounts(state) || hasStarted ? 0 : requiredSlackMs),
		hasSlack: hasStarted || leftMs >= requiredSlackMs,
		hasStarted,
		// A caller who returns after a refusal goes before newcomers.
		acceptedAt: job.sentAt,
	};
}

/**
 * Sorts steps by class: those of excess jobs last, before them those of jobs that are of no use any more, then by priority, then those that can meet their objective first, and
 * among them those with slack, then those of started jobs.
 */
export function compareClass(a: Urgency, b: Urgency): number {
	return Number(a.isExcess) - Number(b.isExcess)
		|| Number(a.isOfNoUse) - Number(b.isOfNoUse)
		|| a.priority - b.priority
		|| Number(a.isObjectiveUnreachable) - Number(b.isObjectiveUnreachable)
		|| Number(b.hasSlack) - Number(a.hasSlack)
		|| Number(b.hasStarted) - Number(a.hasStarted);
}

/** Sorts steps by class, and within a class by arrival. */
export function compareUrgency(a: Urgency, b: Urgency): number {
	return compareClass(a, b) || a.acceptedAt - b.acceptedAt;
}
