/**
 * Records which jobs this host refused and when their callers first sent them, and publishes that to the other hosts:
 * callers usually return to another host, where their jobs would count as new.
 */
import type {Instant, JobId} from '@rhubarblever/core';
import {
	findFirstSend, firstSendKeptMs, maxRefusedJobs, noteFirstSend, type FirstSends, type IntakeRecord, type SteadyMs,
} from '@rhubarblever/core/scheduler';
import {readSteadyClock, readWallClock} from './clocks.js';
import type {DecisionLog} from './decision-log.js';
import type {IntakeWriter} from './intake-writer.js';

/** Least time between two records of one host, so that one record holds many refusals. */
const recordIntervalMs = 2000;
/**
 * A record repeats the refusals of this time before the previous record: the store keeps the newest record of each key, so
 * a host that reads late may miss a record in between.
 */
const overlapMs = 4000;
const writeMs = 1000;
/** Pause after a record that was not stored. */
const retryMs = 250;

type RefusalRecord = Extract<IntakeRecord, {type: 'refusals'}>;

export type RefusalMemoryOptions = {
	readonly writer: Pick<IntakeWriter, 'write' | 'isStoreUnresponsive'>;
	/** Name of this process, and key of its record. */
	readonly holder: string;
	readonly log: DecisionLog;
	/** Called once a record is stored. */
	readonly handleStored: (record: RefusalRecord) => void;
};

export class RefusalMemory {
	static create(options: RefusalMemoryOptions): RefusalMemory {
		return new RefusalMemory(options);
	}

	private readonly sends: FirstSends = new Map();
	/** When the latest stored record was composed. */
	private storedAt: SteadyMs = Number.NEGATIVE_INFINITY;
	private hasUnstored = false;
	private nextWriteAt: SteadyMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly options: RefusalMemoryOptions) {}

	/** Notes a refused job, whose caller first sent it at `sentAt` at the latest. */
	note(jobId: JobId, sentAt: SteadyMs): void {
		const now = readSteadyClock();
		this.hasUnstored ||= findFirstSend(this.sends, jobId, now) === undefined;
		noteFirstSend(this.sends, jobId, {sentAt, now, maxSize: maxRefusedJobs});
	}

	/** When a job that this host refused was first sent. */
	findSentAt(jobId: JobId): SteadyMs | undefined {
		return findFirstSend(this.sends, jobId, readSteadyClock());
	}

	/** Forgets a job that was accepted. */
	drop(jobId: JobId): void {
		this.sends.delete(jobId);
	}

	/** Stores the latest refusals, if there are any, once the store answers. */
	tick(): void {
		const now = readSteadyClock();
		if (this.hasUnstored && now >= this.nextWriteAt && !this.options.writer.isStoreUnresponsive()) {
			this.hasUnstored = false;
			this.nextWriteAt = now + recordIntervalMs;
			void this.write(now);
		}
	}

	private async write(now: SteadyMs): Promise<void> {
		const {writer, holder, log, handleStored} = this.options;
		const wallLeadMs = readWallClock() - now;
		const jobs = [...this.sends]
			.filter(([, {forgetAt}]) => forgetAt > now && forgetAt - firstSendKeptMs > this.storedAt - overlapMs)
			.map(([jobId, {sentAt}]) => ({jobId, sentAt: Math.round(sentAt + wallLeadMs) as Instant}));
		if (jobs.length === 0) {
			return;
		}

		const record: RefusalRecord = {type: 'refusals', holder, jobs};
		if (await writer.write(record, now + writeMs) === 'stored') {
			this.storedAt = now;
			handleStored(record);
			log.note('refusals-stored', {jobs: jobs.length});
		} else {
			this.hasUnstored = true;
			this.nextWriteAt = readSteadyClock() + retryMs;
		}
	}
}
