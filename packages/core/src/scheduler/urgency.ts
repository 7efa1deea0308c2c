/**
 * Order of steps when there is more work than capacity: steps of jobs that can still meet their latency objective come
 * first, those of jobs that cannot come last.
 *
 * In order of arrival alone, every job would wait for the whole queue and miss its objective, whereas a job that has
 * already missed it loses little by waiting longer.
 */
import {getQueue, hasAccounts} from './queues.js';
import {findLearnedEstimate, isLearningUsed, isResuming} from './run-times.js';
import type {Occurrence, SchedulerState, StepRun} from './state.js';

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

export type Urgency = {
	readonly step: StepRun;
	/** The job exceeds the rate of its account. */
	readonly isExcess: boolean;
	readonly priority: number;
	/** The job can no longer meet its latency objective. */
	readonly isObjectiveUnreachable: boolean;
	/** The job would meet its objective even if its work took longer than expected, or has started. */
	readonly hasSlack: boolean;
	/** The job, or the occurrence of a schedule, has started. */
	readonly hasStarted: boolean;
	/** When the caller first sent the job, or the occurrence of a schedule was opened. */
	readonly acceptedAt: number;
};

/** Computes what the order of a step depends on. */
export function computeUrgency(state: SchedulerState, step: StepRun): Urgency {
	const {job} = step.occurrence;
	const isScheduled = job.definition.runCount > 0;
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
	const hasStarted = isScheduled ? hasBegun(step.occurrence) : job.live?.hasStarted ?? false;
	const since = isScheduled ? computeDueAt(state, step.occurrence) : job.sentAt;
	const leftMs = step.definition.isLongRunning ? Number.POSITIVE_INFINITY : since + objectiveMs - state.now - remainingMs - overheadMs;
	const requiredSlackMs = remainingMs * slackShare;
	return {
		step,
		isExcess: job.isExcess,
		priority: queue?.priority ?? lowestPriority,
		// Fleets without client accounts keep their former order, in which jobs without slack count as late.
		isObjectiveUnreachable: leftMs < (hasAccounts(state) || hasStarted ? 0 : requiredSlackMs),
		hasSlack: hasStarted || leftMs >= requiredSlackMs,
		hasStarted,
		// A caller who returns after a refusal goes before newcomers. Overdue occurrences are opened few at a time, so that other late jobs have their turn.
		acceptedAt: isScheduled ? step.occurrence.createdAt : job.sentAt,
	};
}

/** When an occurrence of a schedule is due, on this host's monotonic clock; its latency objective counts from here. */
function computeDueAt({now, wallNow}: SchedulerState, {job: {definition}, number}: Occurrence): number {
	return now - wallNow + definition.firstRunAt + (number * definition.intervalMs);
}

function hasBegun({assignedTasks, steps}: Occurrence): boolean {
	return assignedTasks > 0 || steps.some(({doneCount}) => doneCount > 0);
}

/**
 * Sorts steps by class: those of excess jobs last, then by priority, then those that can meet their objective first, and
 * among them those with slack, then those of started jobs.
 */
export function compareClass(a: Urgency, b: Urgency): number {
	return Number(a.isExcess) - Number(b.isExcess)
		|| a.priority - b.priority
		|| Number(a.isObjectiveUnreachable) - Number(b.isObjectiveUnreachable)
		|| Number(b.hasSlack) - Number(a.hasSlack)
		|| Number(b.hasStarted) - Number(a.hasStarted);
}

/** Sorts steps by class, within a class by arrival, and those of one job by occurrence: one that has begun ends before later ones begin. */
export function compareUrgency(a: Urgency, b: Urgency): number {
	return compareClass(a, b) || a.acceptedAt - b.acceptedAt || a.step.occurrence.number - b.step.occurrence.number;
}
