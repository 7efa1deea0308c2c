/** A constant load: each job that ends is replaced by another of the same kind. */
import type {JobId, LogRecord} from '@rhubarblever/core';
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {minuteMs} from './shapes.js';

/** The number of jobs, and the share that can resume from a checkpoint. */
export type Load = {
	readonly jobCount: number;
	readonly resumableShare: number;
};

/** Run time of quick and non-idempotent jobs; at any moment their remaining run times are uniform up to this. */
const shortRunMs = 10 * minuteMs;
/** Bounds of the run time of rebuilds and archive jobs, which are resumable. */
const shortestLongRunMs = 120 * minuteMs;
const longestLongRunMs = 360 * minuteMs;
const coresPerJob = 8;
const allowedRuns = 20;

type JobKind = {readonly isResumable: boolean; readonly runMs: number};

export class JobSource {
	static create(load: Load, seed: number): JobSource {
		return new JobSource(load, xoroshiro128plus(seed));
	}

	private readonly kinds = new Map<JobId, JobKind>();
	private count = 0;

	private constructor(private readonly load: Load, private readonly random: RandomGenerator) {}

	/** Creates the initial jobs with random remaining run times, as in a steady state. */
	createInitial(): LogRecord[] {
		const resumable = Math.round(this.load.jobCount * this.load.resumableShare);
		return Array.from({length: this.load.jobCount}, (_, index) => {
			const isResumable = index < resumable;
			const runMs = isResumable ? this.drawLongRunMs() : shortRunMs;
			return this.createJob({isResumable, runMs: this.draw(1, runMs)});
		});
	}

	/** Creates the job that replaces one that ended. */
	createNext(ended: JobId): LogRecord {
		const isResumable = this.kinds.get(ended)?.isResumable ?? false;
		this.kinds.delete(ended);
		return this.createJob({isResumable, runMs: isResumable ? this.drawLongRunMs() : shortRunMs});
	}

	/** The true run time of a job; its declared run time is drawn independently. */
	getRunMs(jobId: JobId): number {
		return this.kinds.get(jobId)?.runMs ?? 0;
	}

	isResumable(jobId: JobId): boolean {
		return this.kinds.get(jobId)?.isResumable ?? false;
	}

	private createJob(kind: JobKind): LogRecord {
		this.count += 1;
		const jobId = `job-${this.count}` as JobId;
		this.kinds.set(jobId, kind);
		return {
			recordId: `record-${jobId}` as never,
			schema: 'job',
			version: 1,
			body: {
				jobId,
				pool: 'guarded',
				team: 'team',
				jobClass: 'normal',
				cores: coresPerJob,
				memoryBytes: 0,
				declaredRunMs: this.draw(1, longestLongRunMs),
				allowedRuns,
				isResumable: kind.isResumable,
			},
		};
	}

	private drawLongRunMs(): number {
		return this.draw(shortestLongRunMs, longestLongRunMs);
	}

	private draw(from: number, to: number): number {
		return unsafeUniformIntDistribution(from, to, this.random);
	}
}
