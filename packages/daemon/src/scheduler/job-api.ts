/** The operations that this host offers to callers: submit, query, cancel and count jobs. */
import type {Instant, JobId} from '@rhubarblever/core';
import {
	doesShareRefusals, computeOutageRetryS, describeQuotaExcess, findFirstSend, findQueue, getShownPhase, isFinal, type JobDefinition, type JobPhase, type Queue, type QueueName, type SchedulerState, type SteadyMs,
} from '@rhubarblever/core/scheduler';
import type {AdmissionGate} from './admission-gate.js';
import {readSteadyClock, readWallClock} from './clocks.js';
import type {IntakeWriter} from './intake-writer.js';
import type {DecisionLog} from './decision-log.js';
import type {RefusalMemory} from './refusal-memory.js';
import {isCompleteWithin, type ViewStatus} from './stream-view.js';
import {maxRefreshMs, waitAtMost} from './wait-at-most.js';

/**
 * `refused`: definitely not accepted, the caller may retry later; `exceeds-quota`: the same, and it can never run under the
 * present quota of its account; `too-large`: it can never be stored; `unknown`: may be accepted.
 */
export type SubmitOutcome = 'accepted' | 'refused' | 'exceeds-quota' | 'too-large' | 'unknown';
/** Not accepted, because the job would end too late to be of use. */
export type Overload = {readonly retryAfterS: number};
export type CancelOutcome = 'cancelled' | 'refused' | 'unknown';
/** `unsure`: this host's view of the jobs is too stale to tell that the job does not exist. */
export type PhaseOutcome = JobPhase | 'no-such-job' | 'unsure';
/** `unsure`: this host's view of the configuration is too stale to tell that the queue does not exist. */
export type QueueOutcome = Queue | 'no-such-queue' | 'unsure';
/** The number of jobs without any started task; `unsure`: this host's view of the jobs is too stale to count them. */
export type CountOutcome = number | 'unsure';

export type JobApiOptions = {
	readonly state: SchedulerState;
	readonly writer: IntakeWriter;
	readonly refusals: RefusalMemory;
	readonly gate: AdmissionGate;
	/** Draws a random number from 0 to 1. */
	readonly draw: () => number;
	readonly log: DecisionLog;
	/** Describes this host's view of the intake stream, which holds the jobs of all hosts. */
	readonly describeIntake: () => ViewStatus;
	/** Up to this staleness, a job that is missing from the view does not exist. */
	readonly maxStalenessMs: number;
	/** Describes this host's view of the operators' stream. */
	readonly describeConfig: () => ViewStatus;
	/** Up to this staleness, a queue that is missing from the configuration does not exist. */
	readonly maxConfigStalenessMs: number;
	/** Each brings a view up to date if it is too stale to answer from; resolves at the latest when the store's answer is overdue. */
	readonly refreshIntake: () => Promise<void>;
	readonly refreshProgress: () => Promise<void>;
	readonly refreshConfig: () => Promise<void>;
	readonly handleAccepted: (job: JobDefinition) => void;
	readonly handleCancelled: (jobId: JobId) => void;
};

const quotaAnswers = {stored: 'accepted', none: 'exceeds-quota', unsure: 'unknown'} as const;
/** A write is given up this long before its caller stops waiting, to leave time for the response. */
const answerSlackMs = 150;
const maxWriteMs = 2000;
/** How long an answer waits for the latest progress of a job; after that it tells the progress known here. */
const maxProgressRefreshMs = 250;

export class JobApi {
	static create(options: JobApiOptions): JobApi {
		return new JobApi(options);
	}

	private constructor(private readonly options: JobApiOptions) {}

	/** True once the operators' stream and the intake stream were read to their ends and a configuration is in force. */
	isInitialized(): boolean {
		const {state, describeConfig, describeIntake} = this.options;
		return state.config !== undefined && describeConfig().completeAgeMs !== undefined && describeIntake().completeAgeMs !== undefined;
	}

	/** False while the store is unresponsive; callers should then use another host. */
	canStoreJobs(): boolean {
		return !this.options.writer.isStoreUnresponsive();
	}

	/** The Retry-After, in seconds, of a refusal for which the state of the store or of this host is the reason. */
	drawRetryAfterS(): number {
		const {state, writer, draw} = this.options;
		return computeOutageRetryS(doesShareRefusals(state) ? writer.getOutageMs() : 0, draw());
	}

	/** Finds the queue of a call; asks the store for a newer configuration before it denies a queue. */
	async fetchQueue(host: string, path: string): Promise<QueueOutcome> {
		const {state, refreshConfig} = this.options;
		const queue = state.config && findQueue(state.config, host, path);
		if (queue) {
			return queue;
		}

		await waitAtMost(refreshConfig(), maxRefreshMs);
		return this.findQueue(host, path);
	}

	/** Finds the queue of a call by its host and path in the configuration in force. */
	findQueue(host: string, path: string): QueueOutcome {
		const {state, describeConfig, maxConfigStalenessMs, log} = this.options;
		const queue = state.config && findQueue(state.config, host, path);
		if (queue) {
			return queue;
		}

		const view = describeConfig();
		const isFresh = isCompleteWithin(view, maxConfigStalenessMs);
		log.note('queue-not-found', {
			callerHost: host, path, isSure: isFresh, configVersion: state.config?.version, completeAgeMs: view.completeAgeMs,
		});
		return isFresh ? 'no-such-queue' : 'unsure';
	}

	/** Accepts a job once it is stored; `waitMs` is how long the caller waits. */
	async submit(job: JobDefinition, waitMs: number): Promise<SubmitOutcome | Overload> {
		const {
			state, writer, log, refusals, gate, handleAccepted,
		} = this.options;
		if (state.jobs.has(job.jobId)) {
			log.note('job-repeated', {jobId: job.jobId, queue: job.queue});
			return 'accepted';
		}

		if (!writer.canStore({type: 'job', job})) {
			log.note('job-too-large', {jobId: job.jobId, queue: job.queue});
			return 'too-large';
		}

		const startedAt = readSteadyClock();
		const excess = await this.judgeQuota(job, startedAt, waitMs);
		if (excess !== undefined) {
			return excess;
		}

		const sentAt = this.findSentAt(job.jobId);
		const retryAfterS = await gate.findRefusal({
			job, firstSentAt: sentAt, arrivedAt: startedAt, waitMs,
		});
		if (retryAfterS !== undefined) {
			refusals.note(job.jobId, sentAt ?? startedAt);
			return {retryAfterS};
		}

		if (state.jobs.has(job.jobId)) {
			// The read of the intake before a refusal has shown that another host accepted it.
			return 'accepted';
		}

		const stored = sentAt === undefined ? job : {...job, sentAt: convertToWall(sentAt)};
		gate.noteAppend(job.jobId);
		const outcome = await writer.write({type: 'job', job: stored}, startedAt + getWriteMs(waitMs));
		gate.noteOutcome(job.jobId, outcome);
		log.note(outcome === 'stored' ? 'job-accepted' : 'job-not-accepted', {
			jobId: job.jobId, queue: job.queue, outcome, configVersion: state.config?.version, tookMs: Math.round(readSteadyClock() - startedAt),
		});
		if (outcome === 'stored') {
			refusals.drop(job.jobId);
			handleAccepted(stored);
			return 'accepted';
		}

		if (outcome === 'refused' && doesShareRefusals(state)) {
			refusals.note(job.jobId, sentAt ?? startedAt);
		}

		return outcome;
	}

	/** Returns the phase of a job; asks the store what has happened since this host last read, if that may change the answer. */
	async fetchPhase(jobId: JobId): Promise<PhaseOutcome> {
		const {state, refreshIntake, refreshProgress} = this.options;
		const job = state.jobs.get(jobId);
		if (!job) {
			await waitAtMost(refreshIntake(), maxRefreshMs);
		} else if (!job.isCancelled && !isFinal(job.phase)) {
			await waitAtMost(refreshProgress(), maxProgressRefreshMs);
		}

		return this.getPhase(jobId);
	}

	/** Returns the phase of a job as far as this host knows. */
	getPhase(jobId: JobId): PhaseOutcome {
		const {state, describeIntake, maxStalenessMs, log} = this.options;
		const job = state.jobs.get(jobId);
		if (job) {
			return getShownPhase(job);
		}

		const view = describeIntake();
		const isFresh = isCompleteWithin(view, maxStalenessMs);
		log.note('job-not-found', {jobId, isSure: isFresh, ...view});
		return isFresh ? 'no-such-job' : 'unsure';
	}

	/** Cancels a job once the cancellation is stored. */
	async cancel(jobId: JobId, waitMs: number): Promise<CancelOutcome> {
		const {writer, handleCancelled, log} = this.options;
		const outcome = await writer.write({type: 'cancel', jobId}, readSteadyClock() + getWriteMs(waitMs));
		// Logged for every outcome of the write, also if the cancellation was not stored.
		log.note('cancel-taken', {jobId, outcome});
		if (outcome === 'stored') {
			handleCancelled(jobId);
			return 'cancelled';
		}

		return outcome;
	}

	/** Counts the accepted jobs of a queue without any started task; asks the store for the latest jobs first. */
	async fetchPendingCount(queue: QueueName): Promise<CountOutcome> {
		await waitAtMost(this.options.refreshIntake(), maxRefreshMs);
		return this.countPending(queue);
	}

	/** Counts the pending jobs of a queue as far as this host knows. */
	countPending(queue: QueueName): CountOutcome {
		const {
			state, describeIntake, maxStalenessMs, log,
		} = this.options;
		const view = describeIntake();
		if (!isCompleteWithin(view, maxStalenessMs)) {
			log.note('jobs-not-counted', {queue, ...view});
			return 'unsure';
		}

		let count = 0;
		for (const job of state.jobs.values()) {
			count += job.definition.queue === queue && getShownPhase(job) === 'queued' ? 1 : 0;
		}

		return count;
	}

	/** The answer to a job that can never run under its account's quota; undefined if it can. It may have been accepted under an earlier quota, so the intake is read first. */
	private async judgeQuota(job: JobDefinition, arrivedAt: SteadyMs, waitMs: number): Promise<'accepted' | 'exceeds-quota' | 'unknown' | undefined> {
		const {state, gate, log} = this.options;
		const reason = describeQuotaExcess(state.config, job);
		if (reason === undefined) {
			return undefined;
		}

		const record = await gate.findRecord(job.jobId, arrivedAt, waitMs);
		log.note('job-exceeds-quota', {
			jobId: job.jobId, queue: job.queue, account: job.account, reason, record,
		});
		return quotaAnswers[record];
	}

	/** When a job that this or another host refused was first sent. */
	private findSentAt(jobId: JobId): SteadyMs | undefined {
		const {state, refusals} = this.options;
		const times = [refusals.findSentAt(jobId), findFirstSend(state.firstSends, jobId, readSteadyClock())].filter(time => time !== undefined);
		return times.length > 0 ? Math.min(...times) : undefined;
	}
}

function convertToWall(at: SteadyMs): Instant {
	return Math.round(readWallClock() - (readSteadyClock() - at)) as Instant;
}

function getWriteMs(waitMs: number): number {
	return Math.min(maxWriteMs, Math.max(answerSlackMs, waitMs - answerSlackMs));
}
