/** The job runner. It is part of every entry host and acts only while this host holds the planner lease. */
import {estimateLogTime, findOwnTerm} from '../planner/leadership.js';
import {listDueRanks} from '../planner/wave-view.js';
import type {Effect} from '../types/effects.js';
import type {HandlerTable} from '../types/handlers.js';
import type {HostId, JobId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {expireProposals} from '../log/proposals.js';
import {listFailingWorkers} from './failing-workers.js';
import {displaceForUrgent, listUrgentOnlyWorkers} from './displacement.js';
import type {JobEvent} from './events.js';
import {planPlacements, type PlacementPlan, type WorkerCapacity} from './placement.js';
import {hasJobProposal, submitJobRecord} from './proposals.js';
import {displaceOnLeavingWorkers, displaceAndThrottle} from './overload.js';
import {
	getJobLeaseMs, listRunning, runJobs, type RunningJob,
} from './runner.js';
import {isEnded} from './state.js';
import type {TaskAnswer} from './tasks.js';
import {doesFit, estimateSize, updateObservedMemory} from './use.js';

const listIntervalMs = 250;
const runIntervalMs = 100;
const maximumPlanIntervalMs = 1000;
const maximumTaskListAgeMs = 5000;
const quarantineMs = 60_000;

export const jobHandlers: HandlerTable<JobEvent['type']> = {
	'tasks/listed'(state, event) {
		state.jobRunner.tasks = event.tasks;
		state.jobRunner.tasksListedAt = event.at;
		updateObservedMemory(state);
		return [];
	},
	'task/start-answered'(state, event) {
		const call = state.jobRunner.starts.get(event.jobId);
		if (call?.attempt === event.attempt) {
			call.state = event.answer;
		}

		return [];
	},
	'task/told'(state, {jobId, task}) {
		if (state.fleet.jobs.jobs.get(jobId)?.current?.attempt === task.attempt) {
			state.jobRunner.taskAnswers.set(jobId, task);
			scheduleStop(state, jobId, task);
		}

		return [];
	},
};

/** Once a displaced task has a newer checkpoint, its stop no longer waits for the retry time. */
function scheduleStop(state: State, jobId: JobId, task: TaskAnswer): void {
	const {displaced, stopRetryAt} = state.jobRunner;
	if (task.checkpointMs > (displaced.get(jobId)?.checkpointMs ?? Number.POSITIVE_INFINITY)) {
		stopRetryAt.delete(jobId);
	}
}

/** Runs, places and displaces jobs while this host is the planner. */
export function tickJobs(state: State): Effect[] {
	const term = findOwnTerm(state);
	if (term === undefined || state.now < state.jobRunner.nextRunAt) {
		return [];
	}

	state.jobRunner.nextRunAt = addMilliseconds(state.now, runIntervalMs);
	const effects = listTasks(state);
	if (!hasFreshTaskList(state)) {
		return effects;
	}

	const running = listRunning(state);
	effects.push(...runJobs(state, running, term), ...displaceOnLeavingWorkers(state, running), ...planJobs(state, running, term));
	return effects;
}

function listTasks(state: State): Effect[] {
	if (state.now < state.jobRunner.nextListAt) {
		return [];
	}

	state.jobRunner.nextListAt = addMilliseconds(state.now, listIntervalMs);
	return [{type: 'tasks/list'}];
}

function hasFreshTaskList(state: State): boolean {
	const {tasksListedAt} = state.jobRunner;
	return tasksListedAt !== undefined && tasksListedAt + maximumTaskListAgeMs > state.now;
}

/** Plans placements when the fleet state has changed, or when `maximumPlanIntervalMs` has passed. */
function planJobs(state: State, running: readonly RunningJob[], term: number): Effect[] {
	const runner = state.jobRunner;
	if (runner.plannedOffset === state.fleet.nextOffset && state.now < runner.nextPlanAt) {
		return [];
	}

	pruneRunnerState(state);
	runner.plannedOffset = state.fleet.nextOffset;
	runner.nextPlanAt = addMilliseconds(state.now, maximumPlanIntervalMs);
	const capacities = listCapacities(state);
	const hints = {observedMemory: runner.observedMemory, urgentOnlyWorkers: listUrgentOnlyWorkers(state, running)};
	const plan = planPlacements(state.fleet, capacities, hints, estimateLogTime(state));
	return [
		...submitPlan(state, plan, term),
		...resumeParkedJobs(state, capacities, term),
		...displaceForUrgent(state, running, plan, capacities),
		...displaceAndThrottle(state, running, capacities),
		...quarantineWorkers(state, term),
	];
}

/** Drops local state about jobs that no longer run, and proposals whose records have been read back from the log. */
function pruneRunnerState(state: State): void {
	const {starts, displaced, stopRetryAt, taskAnswers, observedMemory, proposals} = state.jobRunner;
	for (const byJob of [starts, displaced, stopRetryAt, taskAnswers]) {
		for (const jobId of byJob.keys()) {
			if (!state.fleet.jobs.jobs.get(jobId)?.current) {
				byJob.delete(jobId);
			}
		}
	}

	for (const jobId of observedMemory.keys()) {
		const job = state.fleet.jobs.jobs.get(jobId);
		if (!job || isEnded(job)) {
			observedMemory.delete(jobId);
		}
	}

	expireProposals(state, proposals);
}

function submitPlan(state: State, plan: PlacementPlan, term: number): Effect[] {
	const leaseUntil = addMilliseconds(estimateLogTime(state), getJobLeaseMs(state));
	return [
		...plan.placements.flatMap(({job, worker}) => submitJobRecord(state, job.body.jobId, 'job-attempt', {
			jobId: job.body.jobId, attempt: job.attempts + 1, worker, leaseUntil, term,
		})),
		...plan.unplaceable.flatMap(({job, reason}) => submitJobRecord(state, job.body.jobId, 'job-park', {jobId: job.body.jobId, reason, term})),
	];
}

/** Returns parked jobs to the waiting jobs once they fit on some worker of their pool. */
function resumeParkedJobs(state: State, capacities: readonly WorkerCapacity[], term: number): Effect[] {
	return [...state.fleet.jobs.jobs.values()]
		.filter(job => job.step === 'parked' && !hasJobProposal(state, job.body.jobId))
		.filter(job => capacities.some(capacity =>
			state.fleet.hosts.get(capacity.worker)?.pool === job.body.pool && doesFit(estimateSize(job, state.jobRunner.observedMemory), capacity)))
		.flatMap(({body}) => submitJobRecord(state, body.jobId, 'job-park', {jobId: body.jobId, term}));
}

function quarantineWorkers(state: State, term: number): Effect[] {
	const logTime = estimateLogTime(state);
	return listFailingWorkers(state.fleet, logTime).flatMap(worker =>
		submitJobRecord(state, worker, 'worker-set-aside', {worker, until: addMilliseconds(logTime, quarantineMs), term}));
}

/** Declared capacity of the listed workers, with their resource use as last reported by the platform. The use of attempts that have ended since is left out. */
function listCapacities(state: State): WorkerCapacity[] {
	const used = new Map<HostId, {cores: number; memoryBytes: number}>();
	for (const {taskId, attempt, hostId, usage} of state.jobRunner.tasks) {
		const job = state.fleet.jobs.jobs.get(taskId);
		if (job && job.current?.attempt !== attempt) {
			continue;
		}

		const sum = used.get(hostId) ?? {cores: 0, memoryBytes: 0};
		used.set(hostId, {cores: sum.cores + usage.cores, memoryBytes: sum.memoryBytes + usage.memoryBytes});
	}

	const dueRanks = listDueRanks(state);
	return state.targets.listedHosts.filter(host => host.role === 'worker').map(host => ({
		worker: host.hostId,
		cores: host.cores ?? 0,
		memoryBytes: host.memoryBytes ?? 0,
		accelerators: host.accelerators ?? 0,
		usedCores: used.get(host.hostId)?.cores ?? 0,
		usedMemoryBytes: used.get(host.hostId)?.memoryBytes ?? 0,
		dueRank: dueRanks.get(host.hostId),
	}));
}
