/** The job runner: every entry host has it, and it acts only while this one holds the planner's lease. */
import {estimateLogTime, findOwnTerm} from '../planner/leadership.js';
import {listDueRanks} from '../planner/wave-view.js';
import type {Effect} from '../types/effects.js';
import type {HandlerTable} from '../types/handlers.js';
import type {HostId, JobId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {expireProposals} from '../log/proposals.js';
import {listFailingWorkers} from './failing-workers.js';
import {displaceForUrgent, listClearedWorkers} from './displacement.js';
import type {JobEvent} from './events.js';
import {planPlacements, type PlacementPlan, type WorkerCapacity} from './placement.js';
import {hasJobProposal, publishJobRecord} from './proposals.js';
import {displaceOnLeavingWorkers, displaceAndThrottle} from './overload.js';
import {
	getJobLeaseMs, listRunning, runJobs, type RunningJob,
} from './runner.js';
import {isEnded} from './state.js';
import type {TaskAnswer} from './tasks.js';
import {doesFit, estimateSize, noteUse} from './usage.js';

const listIntervalMs = 250;
const runIntervalMs = 100;
const planAgainMs = 1000;
const tasksMaximumAgeMs = 5000;
const setAsideMs = 60_000;

export const jobHandlers: HandlerTable<JobEvent['type']> = {
	'tasks/listed'(state, event) {
		state.jobRunner.tasks = event.tasks;
		state.jobRunner.tasksAt = event.at;
		noteUse(state);
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
			state.jobRunner.told.set(jobId, task);
			scheduleStop(state, jobId, task);
		}

		return [];
	},
};

/** A newer checkpoint lets the stop follow at once. */
function scheduleStop(state: State, jobId: JobId, task: TaskAnswer): void {
	const {displaced, stopAgainAt} = state.jobRunner;
	if (task.checkpointMs > (displaced.get(jobId)?.checkpointMs ?? Number.POSITIVE_INFINITY)) {
		stopAgainAt.delete(jobId);
	}
}

/** Runs, places and relieves jobs while this host is the planner. */
export function tickJobs(state: State): Effect[] {
	const term = findOwnTerm(state);
	if (term === undefined || state.now < state.jobRunner.nextRunAt) {
		return [];
	}

	state.jobRunner.nextRunAt = addMilliseconds(state.now, runIntervalMs);
	const effects = listTasks(state);
	if (!hasFreshTasks(state)) {
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

function hasFreshTasks(state: State): boolean {
	const {tasksAt} = state.jobRunner;
	return tasksAt !== undefined && tasksAt + tasksMaximumAgeMs > state.now;
}

/** Plans when something in the fleet changed, and now and then. */
function planJobs(state: State, running: readonly RunningJob[], term: number): Effect[] {
	const runner = state.jobRunner;
	if (runner.plannedOffset === state.fleet.nextOffset && state.now < runner.nextPlanAt) {
		return [];
	}

	expireNotes(state);
	runner.plannedOffset = state.fleet.nextOffset;
	runner.nextPlanAt = addMilliseconds(state.now, planAgainMs);
	const capacities = listCapacities(state);
	const notes = {seenMemory: runner.seenMemory, clearedWorkers: listClearedWorkers(state, running)};
	const plan = planPlacements(state.fleet, capacities, notes, estimateLogTime(state));
	return [
		...publishPlan(state, plan, term),
		...queueParkedJobs(state, capacities, term),
		...displaceForUrgent(state, running, plan, capacities),
		...displaceAndThrottle(state, running, capacities),
		...setWorkersAside(state, term),
	];
}

/** Forgets what this host noted of jobs that no longer run, and of records that were read back. */
function expireNotes(state: State): void {
	const {starts, displaced, stopAgainAt, told, seenMemory, proposals} = state.jobRunner;
	for (const notes of [starts, displaced, stopAgainAt, told]) {
		for (const jobId of notes.keys()) {
			if (!state.fleet.jobs.jobs.get(jobId)?.current) {
				notes.delete(jobId);
			}
		}
	}

	for (const jobId of seenMemory.keys()) {
		const job = state.fleet.jobs.jobs.get(jobId);
		if (!job || isEnded(job)) {
			seenMemory.delete(jobId);
		}
	}

	expireProposals(state, proposals);
}

function publishPlan(state: State, plan: PlacementPlan, term: number): Effect[] {
	const leaseUntil = addMilliseconds(estimateLogTime(state), getJobLeaseMs(state));
	return [
		...plan.placements.flatMap(({job, worker}) => publishJobRecord(state, job.body.jobId, 'job-attempt', {
			jobId: job.body.jobId, attempt: job.attempts + 1, worker, leaseUntil, term,
		})),
		...plan.unplaceable.flatMap(({job, reason}) => publishJobRecord(state, job.body.jobId, 'job-park', {jobId: job.body.jobId, reason, term})),
	];
}

/** Takes parked jobs up again once some worker of their pool could hold them. */
function queueParkedJobs(state: State, capacities: readonly WorkerCapacity[], term: number): Effect[] {
	return [...state.fleet.jobs.jobs.values()]
		.filter(job => job.step === 'parked' && !hasJobProposal(state, job.body.jobId))
		.filter(job => capacities.some(capacity =>
			state.fleet.hosts.get(capacity.worker)?.pool === job.body.pool && doesFit(estimateSize(job, state.jobRunner.seenMemory), capacity)))
		.flatMap(({body}) => publishJobRecord(state, body.jobId, 'job-park', {jobId: body.jobId, term}));
}

function setWorkersAside(state: State, term: number): Effect[] {
	const logTime = estimateLogTime(state);
	return listFailingWorkers(state.fleet, logTime).flatMap(worker =>
		publishJobRecord(state, worker, 'worker-set-aside', {worker, until: addMilliseconds(logTime, setAsideMs), term}));
}

/** What the host list declares of workers, with what the platform last reported of their use. The use of attempts that have ended since is left out. */
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
