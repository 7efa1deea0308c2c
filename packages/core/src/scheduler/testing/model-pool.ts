/** A model of one pool for tests of its demand: jobs wait for room in order of arrival, those that can still meet their objective first, and machines join one move after they are missing. */
import {
	addArrivedWork, addWaitingWork, clearWaiting, getDemand, updateDemand,
} from '../demand.js';
import {createSchedulerState, type Job, type SchedulerState} from '../state.js';
import {noteRunEnd} from '../run-times.js';
import {
	coresPerJobRate, meanRunMs, PoolLoad, type LoadedJob,
} from './pool-load.js';
import {poolName} from './model-jobs.js';
import {modelSettings} from './model-settings.js';

const machine = {cpu: 16_000, memoryMb: 64_000, gpu: 0};
const tasksPerMachine = 10;
const stepMs = 25;
const updateMs = 150;
/** From the demand until the machine takes tasks. */
const joinMs = 1700;
const stretch = 1.6;
const latencyTargetMs = 600;
const overheadMs = 300;

type ModelStep = {readonly loaded: LoadedJob; readonly job: Job; readonly number: number; left: number; open: number};
type ModelRun = {readonly endsAt: number; readonly startedAt: number; readonly step: ModelStep};

/** The demand after one update, and the load at that time. */
export type DemandSample = {readonly at: number; readonly machines: number; readonly present: number; readonly waitingTasks: number; readonly rateMachines: number};

export class ModelPool {
	static create(seed: number, options: {readonly declaredDeviation?: number; readonly present?: number} = {}): ModelPool {
		return new ModelPool(PoolLoad.create(seed, options), options.present ?? 1000);
	}

	readonly state: SchedulerState = createSchedulerState(modelSettings);
	readonly samples: DemandSample[] = [];
	/** Milliseconds of all jobs from arrival to their end, with their chain of work. */
	readonly ended: Array<{readonly at: number; readonly tookMs: number; readonly chainMs: number}> = [];
	private readonly waiting: ModelStep[] = [];
	private runs: ModelRun[] = [];
	private joining: number[] = [];
	private updateDueAt = 0;

	private constructor(private readonly load: PoolLoad, private present: number) {}

	/** Machines that a load keeps busy. */
	static countBusyMachines(jobsPerS: number): number {
		return jobsPerS * coresPerJobRate * 1000 / machine.cpu;
	}

	/** Lets jobs arrive at a rate for some time; returns the demand after each update. */
	run(jobsPerS: number, forMs: number): DemandSample[] {
		const first = this.samples.length;
		const end = this.state.now + forMs;
		while (this.state.now < end) {
			this.state.now += stepMs;
			this.state.leadership.role = 'leader';
			for (const loaded of this.load.drawArrivals(jobsPerS, stepMs)) {
				this.addJob(loaded);
			}

			this.endRuns();
			this.startTasks();
			if (this.state.now >= this.updateDueAt) {
				this.updateDueAt = this.state.now + updateMs;
				this.update(jobsPerS);
			}
		}

		return this.samples.slice(first);
	}

	private addJob(loaded: LoadedJob): void {
		const job: Job = {
			definition: loaded.definition, phase: 'queued', isCancelled: false, progress: undefined, acceptedAt: this.state.now, sentAt: this.state.now, isExcess: false, live: undefined,
		};
		addArrivedWork(this.state, job);
		this.openStep(loaded, job, 0);
	}

	private openStep(loaded: LoadedJob, job: Job, number: number): void {
		const {count} = loaded.definition.steps[number]!;
		this.waiting.push({
			loaded, job, number, left: count, open: count,
		});
	}

	private endRuns(): void {
		const {now} = this.state;
		const ended = this.runs.filter(({endsAt}) => endsAt <= now);
		this.runs = this.runs.filter(({endsAt}) => endsAt > now);
		for (const {step, startedAt} of ended) {
			const {loaded: {definition, runMs}, job, number} = step;
			noteRunEnd(this.state, {step: {definition: definition.steps[number]!, number, occurrence: {job}}, isResumed: false}, now - startedAt);
			step.open--;
			if (step.open > 0) {
				continue;
			}

			if (number + 1 < definition.steps.length) {
				this.openStep(step.loaded, job, number + 1);
			} else {
				this.ended.push({at: now, tookMs: now - job.acceptedAt, chainMs: runMs.reduce((sum, tasks) => sum + Math.max(...tasks), 0)});
			}
		}
	}

	private startTasks(): void {
		const {now} = this.state;
		let free = (this.present * tasksPerMachine) - this.runs.length;
		while (free > 0 && this.waiting.length > 0) {
			const step = this.waiting.find(candidate => !this.isLate(candidate)) ?? this.waiting[0]!;
			step.left--;
			free--;
			this.runs.push({endsAt: now + step.loaded.runMs[step.number]![step.left]!, startedAt: now, step});
			if (step.left === 0) {
				this.waiting.splice(this.waiting.indexOf(step), 1);
			}
		}
	}

	private isLate({loaded: {definition}, job, number}: ModelStep): boolean {
		const chainMs = definition.steps.length * meanRunMs;
		const remainingMs = (definition.steps.length - number) * meanRunMs;
		return this.state.now + remainingMs + overheadMs > job.sentAt + (stretch * chainMs) + latencyTargetMs;
	}

	private update(jobsPerS: number): void {
		const {now} = this.state;
		const demand = getDemand(this.state, poolName);
		clearWaiting(demand);
		for (const step of this.waiting) {
			const {loaded: {definition}, job, number, left} = step;
			addWaitingWork(this.state, {
				occurrence: {
					job, number: 0, steps: [], isDue: true, isDone: false,
				}, number, definition: definition.steps[number]!, tasks: [], doneCount: 0, advice: undefined,
			}, {
				tasks: left, workers: 1, refused: {}, isLate: this.isLate(step),
			});
		}

		const {machines, waitingTasks, peakMachines} = updateDemand(this.state, poolName, machine);
		this.present += this.joining.filter(at => at <= now).length;
		this.joining = this.joining.filter(at => at > now);
		const missing = Math.ceil(machines - this.present - this.joining.length);
		for (let count = 0; count < missing; count++) {
			this.joining.push(now + joinMs);
		}

		this.present -= Math.max(0, Math.floor(this.present - Math.max(3, peakMachines)));
		this.samples.push({
			at: now, machines, present: this.present, waitingTasks, rateMachines: ModelPool.countBusyMachines(jobsPerS),
		});
	}
}
