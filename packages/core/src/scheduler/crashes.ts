/**
 * Finds the tasks that crash their workers.
 *
 * Most of the tasks that are lost with a worker have not caused its crash. A task that crashes its worker does so soon after its run
 * begins, so a loss is blamed on the runs that had begun lately. A blamed task is tried: it starts on a worker where
 * nothing else has begun lately, and nothing else starts there until the trial is over. Crashes that can be
 * blamed on a task alone show that it is the cause: the more of them are needed, the more workers crash for reasons unknown.
 *
 * The job of such a task fails. If it has long-running tasks, which must be restarted whatever ends them, it goes on, and the
 * task starts again after a pause that grows with its crashes.
 *
 * The evidence is stored with the job's progress, so a new leader continues with it.
 */
import {noteDecision, noteWarning} from './logging.js';
import {finishJob} from './jobs.js';
import {isJobOpen} from './phases.js';
import {getPoolOfJob} from './queues.js';
import {markChanged} from './tasks.js';
import {lateStartMs, never, plainBlameMs} from './timing.js';
import {hasBegunLately, isOnTrial} from './trials.js';
import type {SteadyMs, TaskCrash} from './types.js';
import type {
	SchedulerState, Task, Worker, WorkerLoss,
} from './state.js';

/** A run that has lasted this long is not to blame, and clears its task. */
const clearedAfterMs = 10_000;
/** Workers of one pool that were lost within this time of each other may have a common cause. */
const commonLossMs = 1500;
/** So many other workers of the pool, or this share of it, must be lost for that. */
const minCommonLosses = 4;
const commonLossShare = 0.3;
/** Losses of other workers count for this long as a sign that workers crash by themselves, and a task's last crash as one to judge. */
const lossWindowMs = 20_000;
/** A task does not count as the cause after a single crash. */
const minBlamedCrashes = 2;
/**
 * How many crashes must be blamed on a task alone until it counts as the cause: the more workers of the pool crash for reasons unknown, the more. `lossShare`: lost workers as a share of the pool.
 */
const neededSoleCrashes = [{lossShare: 0.1, soleCrashes: 1}, {lossShare: 0.5, soleCrashes: 2}, {lossShare: Number.POSITIVE_INFINITY, soleCrashes: 3}] as const;
/** After this many crashes that may be blamed on a task it counts as the cause, even if it was never alone. */
const maxBlamedCrashes = 5;
/** Only the latest losses of a task are kept. */
const maxKeptCrashes = 5;
/** How long a long-running task that crashes its workers waits for its next start, and the factor with each further crash. */
const firstBackoffMs = 5000;
const backoffFactor = 2;
/** How long a task that was lost before waits to learn whether its silent worker has crashed. */
const fateWaitMs = 5000;
const checkIntervalMs = 50;

/**
 * Records the loss of a worker's incarnation and blames the tasks that ran on it. Call it before they are returned.
 * `isConfirmed`: it has crashed; otherwise it has been silent until its lease expired. `nextBornBy`: its next incarnation was
 * born by then, and only that can have carried out starts that were sent later.
 */
export function noteWorkerLost(state: SchedulerState, worker: Worker, isConfirmed: boolean, nextBornBy: SteadyMs = never): void {
	if (isConfirmed) {
		confirmLosses(state, worker);
	}

	const lost = [...worker.tasks.values()].filter(task => task.isSent && task.sentAt < nextBornBy && !task.crashes.some(({run}) => run === task.run));
	if (lost.length === 0 || worker.isDraining || state.endedWorkers.get(worker.id) === worker.bornAt) {
		return;
	}

	const recent = lost.filter(task => hasBegunLately(task, worker.lastAnswerAt));
	const isCommon = hasCommonCause(state, worker);
	const isPlain = !isCommon && recent.length === 1 && isPlainlyToBlame(state, worker, recent[0]!);
	for (const task of lost) {
		// A task that a late start bound to its worker could start nowhere else, however often that worker crashes.
		const isRecent = !isCommon && recent.includes(task) && !task.wasBound;
		if (task.wasBound && !task.step.definition.isLongRunning) {
			// It starts where it is bound no more, and the next loss tells whether it is to blame.
			task.heldBackUntil = Math.max(task.heldBackUntil, state.now + lateStartMs);
		}

		if (isJobOpen(task.step.occurrence.job) && worker.lastAnswerAt - task.startedAt < clearedAfterMs) {
			addCrash(state, task, worker, {isConfirmed, blame: isRecent ? (isPlain ? 'sole' : 'shared') : 'slight'});
		}
	}

	noteDecision(state, 'worker-lost', {
		workerId: worker.id, bornAt: worker.bornAt, isConfirmed, isCommon, silentMs: Math.round(state.now - worker.lastAnswerAt), tasks: formatNames(lost), recent: formatNames(recent),
	});
	state.workerLosses.push({
		workerId: worker.id, bornAt: worker.bornAt, pool: worker.pool, machineId: worker.machineId, aliveAt: worker.lastAnswerAt, isPlain,
	});
}

/** True if a worker fell silent just after a run had begun. When the runs of an earlier leader began is not known. */
function isPlainlyToBlame(state: SchedulerState, worker: Worker, {startedAt}: Task): boolean {
	const silentSince = worker.failedPolls > 0 ? worker.silentSince : state.now;
	return startedAt > state.leadership.leaderSince && silentSince - startedAt < plainBlameMs;
}

function formatNames(tasks: readonly Task[]): string {
	return tasks.map(({name, run}) => `${name}#${run}`).join(' ');
}

/** True if so many other workers of the pool were lost or fell silent at about the same time that one task is not the cause. */
function hasCommonCause(state: SchedulerState, worker: Worker): boolean {
	const isNear = (aliveAt: number) => Math.abs(aliveAt - worker.lastAnswerAt) < commonLossMs;
	const others = new Set(state.workerLosses.filter(({pool, aliveAt, isPlain}) => pool === worker.pool && !isPlain && isNear(aliveAt)).map(({workerId}) => workerId));
	let poolSize = 0;
	for (const other of state.workers.values()) {
		poolSize += other.pool === worker.pool ? 1 : 0;
		if (other.pool === worker.pool && other.failedPolls > 0 && isNear(other.lastAnswerAt) && !hasTrial(other)) {
			others.add(other.id);
		}
	}

	others.delete(worker.id);
	return others.size >= Math.max(minCommonLosses, Math.ceil(poolSize * commonLossShare));
}

function hasTrial(worker: Worker): boolean {
	return [...worker.tasks.values()].some(task => isOnTrial(task));
}

function addCrash(state: SchedulerState, task: Task, worker: Worker, kind: Pick<TaskCrash, 'isConfirmed' | 'blame'>): void {
	state.suspects.add(task);
	const crash: TaskCrash = {
		run: task.run, workerId: worker.id, bornAt: worker.bornAt, at: state.wallNow, ...kind,
	};
	setCrashes(state, task, [...task.crashes, crash].slice(-maxKeptCrashes));
}

/** Learns what became of silent workers, clears tasks, and gives up or holds back those that crash their workers. */
export function judgeSuspects(state: SchedulerState): void {
	if (state.suspects.size === 0 || state.now < state.suspectsDueAt || state.leadership.role !== 'leader') {
		return;
	}

	state.suspectsDueAt = state.now + checkIntervalMs;
	state.workerLosses = state.workerLosses.filter(({aliveAt}) => aliveAt > state.now - (2 * lossWindowMs));
	const fates: Fates = new Map();
	for (const task of state.suspects) {
		const {job} = task.step.occurrence;
		if (!isJobOpen(job) || task.status === 'done') {
			state.suspects.delete(task);
			continue;
		}

		resolveLosses(state, task, fates);
		clearProven(state, task);
		if (task.crashes.length === 0) {
			state.suspects.delete(task);
		} else if (isCause(state, task)) {
			handleCause(state, task);
		}
	}

	// The end of a wait or of a trial is no event of its own.
	state.needsPlacement ||= [...state.suspects].some(({status}) => status === 'waiting');
}

/** Confirms the losses of an incarnation that had only been silent. */
function confirmLosses(state: SchedulerState, worker: Worker): void {
	for (const task of state.suspects) {
		if (task.crashes.some(crash => isOf(crash, worker))) {
			setCrashes(state, task, task.crashes.map(crash => isOf(crash, worker) ? {...crash, isConfirmed: true} : crash));
		}
	}
}

function isOf(crash: TaskCrash, worker: Worker): boolean {
	return !crash.isConfirmed && crash.workerId === worker.id && crash.bornAt === worker.bornAt;
}

function setCrashes(state: SchedulerState, task: Task, crashes: readonly TaskCrash[]): void {
	task.crashes = crashes;
	state.suspectsDueAt = 0;
	markChanged(state, task);
}

/** What has become of a worker's incarnation that fell silent; many tasks may have been lost with it. */
type Fate = 'alive' | 'replaced' | 'unknown';
type Fates = Map<string, Fate>;

/** Confirms the losses whose worker is back as a new incarnation, and drops those whose worker had only been silent. */
function resolveLosses(state: SchedulerState, task: Task, fates: Fates): void {
	const open = task.crashes.filter(({isConfirmed}) => !isConfirmed);
	if (open.every(crash => getFate(state, crash, fates) === 'unknown')) {
		return;
	}

	const left = task.crashes.filter(crash => crash.isConfirmed || getFate(state, crash, fates) !== 'alive');
	setCrashes(state, task, left.map(crash => crash.isConfirmed || getFate(state, crash, fates) === 'unknown' ? crash : {...crash, isConfirmed: true}));
}

function getFate(state: SchedulerState, crash: TaskCrash, fates: Fates): Fate {
	const key = `${crash.workerId}/${crash.bornAt}`;
	const fate = fates.get(key) ?? findFate(state, crash);
	fates.set(key, fate);
	return fate;
}

function findFate(state: SchedulerState, {workerId, bornAt}: TaskCrash): Fate {
	const known = state.workers.get(workerId);
	if (known?.bornAt === bornAt && known.isPolledByLeader && known.failedPolls === 0) {
		return 'alive';
	}

	const machineId = state.workerLosses.find(loss => loss.workerId === workerId && loss.bornAt === bornAt)?.machineId;
	const isReplaced = [...state.workers.values()].some(worker => worker.bornAt > bornAt && (worker.id === workerId || (machineId !== undefined && worker.machineId === machineId)));
	return isReplaced ? 'replaced' : 'unknown';
}

/** A run that has lasted for long clears its task: it did not crash its worker. */
function clearProven(state: SchedulerState, task: Task): void {
	const {worker} = task;
	if (task.status === 'running' && worker?.failedPolls === 0 && worker.lastAnswerAt - task.startedAt >= clearedAfterMs) {
		setCrashes(state, task, []);
	}
}

function listBlamedCrashes({crashes}: Task): TaskCrash[] {
	return crashes.filter(({isConfirmed, blame}) => isConfirmed && blame !== 'slight');
}

/** Losses that tell only slightly against a task never convict it: any task meets with them where workers crash by themselves. */
function isCause(state: SchedulerState, task: Task): boolean {
	const blamed = listBlamedCrashes(task);
	if (blamed.length >= maxBlamedCrashes) {
		return true;
	}

	if (state.wallNow - task.crashes.at(-1)!.at > lossWindowMs) {
		return false;
	}

	const sole = blamed.filter(({blame}) => blame === 'sole').length;
	const needed = computeNeededCrashes(state, task);
	return sole >= needed && blamed.length >= minBlamedCrashes;
}

/**
 * How many crashes must be blamed on a task alone until it counts as the cause, by the losses of other workers in the time before its
 * last crash. A new leader does not know all of these.
 */
function computeNeededCrashes(state: SchedulerState, task: Task): number {
	const lastCrashAt = state.now - (state.wallNow - task.crashes.at(-1)!.at);
	const since = lastCrashAt - lossWindowMs;
	const pool = getPoolOfJob(state, task.step.occurrence.job);
	const workers = [...state.workers.values()].filter(worker => worker.pool === pool).length;
	const losses = state.workerLosses.filter(loss => loss.pool === pool && !loss.isPlain && loss.aliveAt > since && !isBlamedOn(task, loss)).length;
	const lossShare = since < state.leadership.leaderSince ? Number.POSITIVE_INFINITY : losses / Math.max(1, workers);
	return neededSoleCrashes.find(row => lossShare <= row.lossShare)!.soleCrashes;
}

function isBlamedOn({crashes}: Task, {workerId, bornAt}: WorkerLoss): boolean {
	return crashes.some(crash => crash.workerId === workerId && crash.bornAt === bornAt);
}

function handleCause(state: SchedulerState, task: Task): void {
	const {job} = task.step.occurrence;
	if (!job.definition.steps.some(({isLongRunning}) => isLongRunning)) {
		state.suspects.delete(task);
		noteCause(state, task, 'task-given-up');
		finishJob(state, job, 'failed');
	} else if (task.status === 'waiting' && task.heldBackRun !== task.run) {
		const factor = backoffFactor ** Math.max(0, listBlamedCrashes(task).length - minBlamedCrashes);
		task.heldBackRun = task.run;
		task.heldBackUntil = state.now + (firstBackoffMs * factor);
		noteCause(state, task, 'task-held-back');
	}
}

function noteCause(state: SchedulerState, task: Task, event: 'task-given-up' | 'task-held-back'): void {
	noteWarning(state, event, {
		task: task.name, run: task.run, crashes: task.crashes.length, heldBackMs: Math.max(0, Math.round(task.heldBackUntil - state.now)), evidence: formatCrashes(task.crashes),
	});
	state.workerLosses = state.workerLosses.filter(loss => !isBlamedOn(task, loss));
}

function formatCrashes(crashes: readonly TaskCrash[]): string {
	return crashes.map(({run, workerId, bornAt, at, isConfirmed, blame}) => `#${run} at ${workerId}/${bornAt} ${new Date(at).toISOString()} ${isConfirmed ? 'crashed' : 'silent'} ${blame}`).join(', ');
}

/** True while a waiting task may not start: it crashes its workers, or was lost before and has to wait for the fate of its last worker. */
export function isHeldBack(state: SchedulerState, task: Task): boolean {
	return state.now < task.heldBackUntil || isAwaitingFate(state, task);
}

function isAwaitingFate(state: SchedulerState, {crashes, readyAt}: Task): boolean {
	return crashes.length > 1 && crashes.at(-1)?.isConfirmed === false && state.now < readyAt + fateWaitMs;
}

