/** Applies the decisions of admission to callers' jobs: logs and counts them, and ensures that a refused job is not stored. */
import type {JobId} from '@rhubarblever/core';
import {
	firstSendKeptMs, judgeAdmission, type AdmissionVerdict, type JobDefinition, type SchedulerState, type SteadyMs,
} from '@rhubarblever/core/scheduler';
import {readSteadyClock} from './clocks.js';
import type {DecisionLog} from './decision-log.js';
import type {IntakeCheck} from './intake-check.js';
import type {SchedulerMetrics} from './metrics.js';

/** Longest wait for the read of the intake before a refusal; a read may take two intervals to begin. */
const maxCheckMs = 500;
/** The same as a share of what the caller waits: the job is appended afterwards if the read takes longer. */
const checkShare = 0.25;
/** Jobs whose appends have an unknown outcome; the ones noted first are dropped. */
const maxUnknownJobs = 2000;

/** How many appends of a job are not answered, and until when the host remembers one whose outcome is unknown. */
type Appends = {readonly inFlight: number; readonly unknownUntil: SteadyMs};

const noAppends: Appends = {inFlight: 0, unknownUntil: Number.NEGATIVE_INFINITY};

export type AdmissionGateOptions = {
	readonly state: SchedulerState;
	readonly log: DecisionLog;
	readonly metrics: SchedulerMetrics;
	readonly intakeCheck: IntakeCheck;
	/** Staleness of this host's view of the ledger. */
	readonly getLedgerAgeMs: () => number | undefined;
	/** Draws a random number from 0 to 1. */
	readonly draw: () => number;
};

/** `firstSentAt`: set if a host has refused the job before; `arrivedAt`: when this call arrived; `waitMs`: how long its caller waits. */
export type SubmittedJob = {readonly job: JobDefinition; readonly firstSentAt: SteadyMs | undefined; readonly arrivedAt: SteadyMs; readonly waitMs: number};

export class AdmissionGate {
	static create(options: AdmissionGateOptions): AdmissionGate {
		return new AdmissionGate(options);
	}

	/** Jobs that may be stored because this host has sent appends of them. */
	private readonly appends = new Map<JobId, Appends>();

	private constructor(private readonly options: AdmissionGateOptions) {}

	/** Returns the Retry-After in seconds if the job is refused; the job is then not stored and no append of it is in flight here. */
	async findRefusal({job, firstSentAt, arrivedAt, waitMs}: SubmittedJob): Promise<number | undefined> {
		const {log, metrics} = this.options;
		const verdict = this.judge(job, firstSentAt);
		if (verdict.outcome !== 'refused') {
			this.count(verdict.outcome, firstSentAt);
			return undefined;
		}

		const record = await this.findRecord(job.jobId, arrivedAt, waitMs);
		if (record !== 'none') {
			metrics.admissions.inc({outcome: record === 'stored' ? 'repeated' : 'unsure'});
			return undefined;
		}

		const {expectedWaitMs, viewAgeMs, retryAfterS} = verdict;
		this.count('refused', firstSentAt);
		log.note('job-refused', {
			jobId: job.jobId, queue: job.queue, account: job.account, expectedWaitMs, viewAgeMs, retryAfterS, isReturned: firstSentAt !== undefined,
		});
		return retryAfterS;
	}

	/** Tells whether a host has accepted a job, by a read of the intake that was requested after the call arrived; `unsure`: it may have. */
	async findRecord(jobId: JobId, arrivedAt: SteadyMs, waitMs: number): Promise<'stored' | 'none' | 'unsure'> {
		const {state, intakeCheck} = this.options;
		const isViewComplete = await intakeCheck.isCompleteSince(arrivedAt, Math.min(maxCheckMs, waitMs * checkShare));
		if (state.jobs.has(jobId)) {
			return 'stored';
		}

		return isViewComplete && !this.isPossiblyStored(jobId) ? 'none' : 'unsure';
	}

	/** Notes that an append of the job is about to be sent: from now on it is not refused here. */
	noteAppend(jobId: JobId): void {
		const {inFlight, unknownUntil} = this.appends.get(jobId) ?? noAppends;
		this.appends.set(jobId, {inFlight: inFlight + 1, unknownUntil});
	}

	/** Notes the outcome of that append. */
	noteOutcome(jobId: JobId, outcome: 'stored' | 'refused' | 'unknown'): void {
		const now = readSteadyClock();
		const known = this.appends.get(jobId) ?? noAppends;
		const inFlight = Math.max(0, known.inFlight - 1);
		const unknownUntil = outcome === 'unknown' ? now + firstSendKeptMs : known.unknownUntil;
		this.appends.delete(jobId);
		if (inFlight > 0 || unknownUntil > now) {
			this.appends.set(jobId, {inFlight, unknownUntil});
		}

		this.dropOldAppends(now);
	}

	private dropOldAppends(now: SteadyMs): void {
		for (const [jobId, {inFlight, unknownUntil}] of this.appends) {
			if (inFlight > 0 || (unknownUntil > now && this.appends.size <= maxUnknownJobs)) {
				return;
			}

			this.appends.delete(jobId);
		}
	}

	private judge(job: JobDefinition, firstSentAt: SteadyMs | undefined): AdmissionVerdict {
		const {state, draw, getLedgerAgeMs} = this.options;
		return judgeAdmission(state, job, {
			now: readSteadyClock(), firstSentAt, ledgerAgeMs: getLedgerAgeMs(), draw,
		});
	}

	private isPossiblyStored(jobId: JobId): boolean {
		const {inFlight, unknownUntil} = this.appends.get(jobId) ?? noAppends;
		return inFlight > 0 || unknownUntil > readSteadyClock();
	}

	private count(outcome: AdmissionVerdict['outcome'], firstSentAt: SteadyMs | undefined): void {
		this.options.metrics.admissions.inc({outcome: firstSentAt === undefined || outcome === 'unjudged' ? outcome : `returned-${outcome}`});
	}
}
