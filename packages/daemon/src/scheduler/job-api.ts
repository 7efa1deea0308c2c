/** What callers may do with jobs at this host: hand in, ask, cancel, count. */
import type {JobId} from '@rhubarblever/core';
import {
	findQueue, getShownPhase, type JobDefinition, type JobPhase, type Queue, type QueueName, type SchedulerState,
} from '@rhubarblever/core/scheduler';
import {readSteadyClock} from './clocks.js';
import type {IntakeWriter} from './intake-writer.js';
import type {DecisionLog} from './decision-log.js';
import {isCompleteWithin, type ViewStatus} from './stream-view.js';

/** `refused`: surely not accepted, come back later; `unknown`: may be accepted. */
export type SubmitOutcome = 'accepted' | 'refused' | 'unknown';
export type CancelOutcome = 'cancelled' | 'refused' | 'unknown';
/** `unsure`: this host's view of the jobs is too old to say that there is none. */
export type PhaseOutcome = JobPhase | 'no-such-job' | 'unsure';
/** `unsure`: this host's view of the configuration is too old to say that there is no such queue. */
export type QueueOutcome = Queue | 'no-such-queue' | 'unsure';
/** Jobs of which nothing has started; `unsure`: this host's view of the jobs is too old to count them. */
export type CountOutcome = number | 'unsure';

export type JobApiOptions = {
	readonly state: SchedulerState;
	readonly writer: IntakeWriter;
	readonly log: DecisionLog;
	/** How much of the jobs of all hosts is known here. */
	readonly describeIntake: () => ViewStatus;
	/** A view of the jobs that is complete up to this age tells which ones do not exist. */
	readonly maxStalenessMs: number;
	/** How much of the operators' records is known here. */
	readonly describeConfig: () => ViewStatus;
	/** The same of the operators' records and queues. */
	readonly maxConfigStalenessMs: number;
	readonly handleAccepted: (job: JobDefinition) => void;
	readonly handleCancelled: (jobId: JobId) => void;
};

/** A write is given up this long before its caller stops waiting. */
const answerSlackMs = 150;
const maxWriteMs = 2000;

export class JobApi {
	static create(options: JobApiOptions): JobApi {
		return new JobApi(options);
	}

	private constructor(private readonly options: JobApiOptions) {}

	/** False before the first configuration, and before the operators' records and the jobs of all hosts were read once. */
	isInitialized(): boolean {
		const {state, describeConfig, describeIntake} = this.options;
		return state.config !== undefined && describeConfig().completeAgeMs !== undefined && describeIntake().completeAgeMs !== undefined;
	}

	/** False while the store does not take jobs: callers are better served elsewhere. */
	canStoreJobs(): boolean {
		return !this.options.writer.isStoreUnresponsive();
	}

	/** The queue that a call is for, by the configuration in force. */
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

	/** Accepts a job once the store has it; `waitMs` is how long the caller waits. */
	async submit(job: JobDefinition, waitMs: number): Promise<SubmitOutcome> {
		const {state, writer, log, handleAccepted} = this.options;
		if (state.jobs.has(job.jobId)) {
			log.note('job-repeated', {jobId: job.jobId, queue: job.queue});
			return 'accepted';
		}

		const startedAt = readSteadyClock();
		const outcome = await writer.write({type: 'job', job}, startedAt + getWriteMs(waitMs));
		log.note(outcome === 'stored' ? 'job-accepted' : 'job-not-accepted', {
			jobId: job.jobId, queue: job.queue, outcome, configVersion: state.config?.version, tookMs: Math.round(readSteadyClock() - startedAt),
		});
		if (outcome === 'stored') {
			handleAccepted(job);
			return 'accepted';
		}

		return outcome;
	}

	/** What is known of a job. */
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

	/** Cancels a job once the store has it. */
	async cancel(jobId: JobId, waitMs: number): Promise<CancelOutcome> {
		const {writer, handleCancelled, log} = this.options;
		const outcome = await writer.write({type: 'cancel', jobId}, readSteadyClock() + getWriteMs(waitMs));
		log.note('cancel-taken', {jobId, outcome});
		if (outcome === 'stored') {
			handleCancelled(jobId);
			return 'cancelled';
		}

		return outcome;
	}

	/** Accepted jobs of a queue of which nothing has started. */
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
}

function getWriteMs(waitMs: number): number {
	return Math.min(maxWriteMs, Math.max(answerSlackMs, waitMs - answerSlackMs));
}
