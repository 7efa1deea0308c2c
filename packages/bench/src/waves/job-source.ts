/** A steady load: each job that ends is followed by another of its kind. */
import type {JobId, LogRecord} from '@rhubarblever/core';
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {minuteMs} from './shapes.js';

/** How much runs, and how much of it can go on from a checkpoint. */
export type Load = {
	readonly jobCount: number;
	readonly resumableShare: number;
};

/** Quick and non-idempotent jobs: what is left of them at any moment is spread evenly up to this. */
const shortRunMs = 10 * minuteMs;
/** Rebuilds and archive jobs, which are resumable. */
const shortestLongRunMs = 120 * minuteMs;
const longestLongRunMs = 360 * minuteMs;
const coresPerJob = 8;
const allowedRuns = 20;

type Kind = {readonly isResumable: boolean; readonly runMs: number};

export class JobSource {
	static create(load: Load, seed: number): JobSource {
		return new JobSource(load, xoroshiro128plus(seed));
	}

	private readonly kinds = new Map<JobId, Kind>();
	private count = 0;

	private constructor(private readonly load: Load, private readonly random: RandomGenerator) {}

	/** The jobs of the start; as if caught at any moment of their run. */
	listFirst(): LogRecord[] {
		const resumable = Math.round(this.load.jobCount * this.load.resumableShare);
		return Array.from({length: this.load.jobCount}, (_, index) => {
			const isResumable = index < resumable;
			const runMs = isResumable ? this.drawLong() : shortRunMs;
			return this.createJob({isResumable, runMs: this.draw(1, runMs)});
		});
	}

	/** The job that follows one that ended. */
	createNext(ended: JobId): LogRecord {
		const isResumable = this.kinds.get(ended)?.isResumable ?? false;
		this.kinds.delete(ended);
		return this.createJob({isResumable, runMs: isResumable ? this.drawLong() : shortRunMs});
	}

	/** What a job truly takes, which its declaration does not tell. */
	getRunMs(jobId: JobId): number {
		return this.kinds.get(jobId)?.runMs ?? 0;
	}

	private createJob(kind: Kind): LogRecord {
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

	private drawLong(): number {
		return this.draw(shortestLongRunMs, longestLongRunMs);
	}

	private draw(from: number, to: number): number {
		return unsafeUniformIntDistribution(from, to, this.random);
	}
}
