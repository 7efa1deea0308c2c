/** Seeded load of a pool for tests: jobs of one or two dependent steps, in bursts or steady, with true run times that differ from the declared ones. */
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import type {JobDefinition} from '../types.js';
import {createJob, createStep} from './model-jobs.js';

const tasksPerStep = 8;
const taskCpu = 1500;
export const meanRunMs = 680;
const shareOfTwoSteps = 0.6;
/** This share of the tasks runs this many times as long as the others. */
const slowShare = 0.03;
const slowFactor = 7;
const usualRunMs = meanRunMs / (1 + (slowShare * (slowFactor - 1)));

/** Cores that a job a second keeps busy. */
export const coresPerJobRate = (1 + shareOfTwoSteps) * tasksPerStep * (taskCpu / 1000) * (meanRunMs / 1000);

export type LoadedJob = {
	readonly definition: JobDefinition;
	/** The true run time of each task, by step. */
	readonly runMs: ReadonlyArray<readonly number[]>;
};

export class PoolLoad {
	/** `declaredDeviation`: standard deviation of the logarithm of the error of declared run times; `pool`: also the name of its queue. */
	static create(seed: number, options: {readonly declaredDeviation?: number; readonly pool?: string} = {}): PoolLoad {
		return new PoolLoad(seed, options.declaredDeviation ?? 0, options.pool);
	}

	private readonly random: RandomGenerator;
	private nextNumber: number;
	private nextInMs: number | undefined;

	private constructor(seed: number, private readonly declaredDeviation: number, private readonly pool: string | undefined) {
		this.random = xoroshiro128plus(seed);
		// The jobs of loads with other seeds have other ids.
		this.nextNumber = (seed * 1_000_000) + 1;
	}

	/** The jobs that arrive within some time: a Poisson process. */
	drawArrivals(jobsPerS: number, forMs: number): LoadedJob[] {
		const jobs: LoadedJob[] = [];
		// Counted in mean intervals, so that it holds also when the rate changes.
		this.nextInMs ??= this.drawExponential();
		this.nextInMs -= forMs * jobsPerS / 1000;
		while (this.nextInMs <= 0) {
			jobs.push(this.createLoadedJob());
			this.nextInMs += this.drawExponential();
		}

		return jobs;
	}

	/** A uniform number between 0 and 1, neither included. */
	drawShare(): number {
		return unsafeUniformIntDistribution(1, 999_999, this.random) / 1_000_000;
	}

	private createLoadedJob(): LoadedJob {
		const count = this.drawShare() < shareOfTwoSteps ? 2 : 1;
		const steps = Array.from({length: count}, (_, number) => createStep({
			count: tasksPerStep, need: {cpu: taskCpu, memoryMb: 1000, gpu: 0}, estimateMs: this.drawDeclaredMs(), dependsOn: number === 0 ? [] : [number - 1],
		}));
		return {
			definition: createJob(this.nextNumber++, steps, this.pool === undefined ? {} : {pool: this.pool, queue: this.pool}),
			runMs: steps.map(({count}) => Array.from({length: count}, () => usualRunMs * (this.drawShare() < slowShare ? slowFactor : 1))),
		};
	}

	private drawDeclaredMs(): number {
		const normal = Math.sqrt(-2 * Math.log(this.drawShare())) * Math.cos(2 * Math.PI * this.drawShare());
		return Math.max(1, Math.round(usualRunMs * Math.exp(normal * this.declaredDeviation)));
	}

	private drawExponential(): number {
		return -Math.log(this.drawShare());
	}
}
