/** Where suspect tasks start: each alone among the runs begun lately on its worker, on a bounded share of each pool's workers. */
import {noteDecision} from './logging.js';
import {getPoolOfJob} from './queues.js';
import {countAdmitted} from './quotas.js';
import {addResources, doesFit} from './resources.js';
import {getFree, getNeed} from './tasks.js';
import {trialMs} from './timing.js';
import type {PoolName, SteadyMs} from './types.js';
import type {SchedulerState, Task, Worker} from './state.js';

/** Largest share of a pool's workers that are kept for suspects or have one on trial. */
const maxTrialShare = 0.5;
/** A worker that could not be used for a trial within this time is open to all tasks again. */
const keptMs = 2500;
/** A task starts among others after it has waited this long for a trial: after a single loss, and after several. */
const maxFirstTrialWaitMs = 3000;
const maxTrialWaitMs = 8000;
/** So many losses count even if each tells little. */
const suspectAfterSlightLosses = 3;
/** Most machines that a pool gets in addition, so that suspects are tried soon. */
const maxTrialMachines = 16;

/** True if a run had begun less than `trialMs` before an instant, or is about to. */
export function hasBegunLately(task: Task, at: SteadyMs): boolean {
	return task.status === 'placed' || at - task.startedAt < trialMs;
}

/** True if the losses of workers tell enough against a task that it must be tried. */
function isSuspect({crashes}: Task): boolean {
	return crashes.length >= suspectAfterSlightLosses || crashes.some(({blame}) => blame !== 'slight');
}

/** True if a task may start only where it is tried. */
export function isTrialNeeded(state: SchedulerState, task: Task): boolean {
	return isSuspect(task) && state.now < Math.max(task.readyAt, task.heldBackUntil) + (task.crashes.length > 1 ? maxTrialWaitMs : maxFirstTrialWaitMs);
}

/** True while a suspect may still crash its worker: until the worker has answered long enough after the start. */
export function isOnTrial(task: Task): boolean {
	return task.worker !== undefined && isSuspect(task) && hasBegunLately(task, task.worker.lastAnswerAt);
}

/** True if a task may start on a worker: a suspect only where nothing has begun lately, other tasks only where no suspect is tried. */
export function canJoin(state: SchedulerState, task: Task, worker: Worker): boolean {
	const {suspects, trials: {kept, onTrial}} = state;
	if (suspects.size === 0) {
		return true;
	}

	return isTrialNeeded(state, task)
		? kept.has(worker) && !onTrial.has(worker) && !hasYoungRuns(worker)
		: !kept.has(worker) && !onTrial.has(worker);
}

function hasYoungRuns(worker: Worker): boolean {
	return [...worker.tasks.values()].some(task => hasBegunLately(task, worker.lastAnswerAt));
}

/** Records that a suspect starts on a worker. */
export function noteTrial(state: SchedulerState, task: Task, worker: Worker): void {
	if (state.suspects.size > 0 && isTrialNeeded(state, task)) {
		state.trials.onTrial.add(worker);
		noteDecision(state, 'trial-begun', {
			task: task.name, workerId: worker.id, crashes: task.crashes.length, others: worker.tasks.size,
		});
	}
}

function isWaitingForTrial(state: SchedulerState, task: Task): boolean {
	return task.status === 'waiting' && state.now >= task.heldBackUntil && state.openSteps.has(task.step)
		&& isTrialNeeded(state, task) && countAdmitted(state, task.step) > 0;
}

/** How many machines a pool needs in addition, because each suspect starts alone. */
export function countTrialMachines(state: SchedulerState, pool: PoolName): number {
	let tasks = 0;
	for (const task of state.suspects) {
		const isWaiting = isWaitingForTrial(state, task);
		tasks += (isWaiting || isOnTrial(task)) && getPoolOfJob(state, task.step.occurrence.job) === pool ? 1 : 0;
	}

	return Math.min(maxTrialMachines, tasks);
}

type CanHost = (state: SchedulerState, task: Task, worker: Worker) => boolean;

/** Keeps workers for the suspects that wait: few at once, those with the least work. */
export function planTrials(state: SchedulerState, workersByPool: ReadonlyMap<PoolName, readonly Worker[]>, canHost: CanHost): void {
	const {suspects, trials: {kept, onTrial}} = state;
	onTrial.clear();
	const waiting = new Map<PoolName, Task[]>();
	for (const task of suspects) {
		if (task.worker && isOnTrial(task)) {
			onTrial.add(task.worker);
		} else if (isWaitingForTrial(state, task)) {
			const pool = getPoolOfJob(state, task.step.occurrence.job);
			waiting.set(pool, [...waiting.get(pool) ?? [], task]);
		}
	}

	const usable = new Set([...waiting.keys()].flatMap(pool => workersByPool.get(pool) ?? []));
	for (const [worker, until] of kept) {
		if (!usable.has(worker) || state.now >= until) {
			kept.delete(worker);
		}
	}

	for (const [pool, tasks] of waiting) {
		keepWorkers(state, tasks, workersByPool.get(pool) ?? [], canHost);
	}
}

function keepWorkers(state: SchedulerState, tasks: readonly Task[], workers: readonly Worker[], canHost: CanHost): void {
	const {kept, onTrial} = state.trials;
	const most = Math.max(1, Math.floor(workers.length * maxTrialShare));
	let used = workers.filter(worker => kept.has(worker) || onTrial.has(worker)).length;
	for (const task of tasks.slice(workers.filter(worker => kept.has(worker) && !onTrial.has(worker)).length)) {
		if (used >= most) {
			return;
		}

		const worker = chooseTrialWorker(task, workers.filter(candidate => !kept.has(candidate) && !onTrial.has(candidate) && canHost(state, task, candidate)));
		if (worker) {
			kept.set(worker, state.now + keptMs);
			used++;
		}
	}
}

/** The worker on which a suspect can start soonest and puts the least work at risk. */
function chooseTrialWorker(task: Task, workers: readonly Worker[]): Worker | undefined {
	let best: Worker | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const worker of workers) {
		const score = scoreTrialWorker(task, worker);
		if (score < bestScore) {
			best = worker;
			bestScore = score;
		}
	}

	return best;
}

/** Each is larger than the sum of what it goes before. */
const longRunningPenalty = 1000;
const noRoomPenalty = 100;

function scoreTrialWorker(task: Task, worker: Worker): number {
	const need = getNeed(task);
	let roomWithoutShortTasks = getFree(worker);
	for (const other of worker.tasks.values()) {
		roomWithoutShortTasks = other.step.definition.isLongRunning ? roomWithoutShortTasks : addResources(roomWithoutShortTasks, getNeed(other));
	}

	if (!doesFit(need, roomWithoutShortTasks)) {
		return Number.POSITIVE_INFINITY;
	}

	return (worker.longRunningTasks * longRunningPenalty)
		+ (doesFit(need, getFree(worker)) && !hasYoungRuns(worker) ? 0 : noRoomPenalty)
		+ worker.tasks.size;
}
