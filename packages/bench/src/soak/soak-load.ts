/** The soak's callers: they submit jobs at random hosts, retry calls that were not answered with 200 at other hosts, query job states, and cancel some jobs. */
import {setTimeout as sleep} from 'node:timers/promises';
import {standInTaskCpu} from '@rhubarblever/stand-ins';
import type {SeededRandom} from '../mixed-run/seeded-random.js';
import type {RunChecker} from './run-checker.js';
import type {CallAnswer, SoakFleet, SoakHost} from './soak-fleet.js';

export type SoakJob = {
	readonly jobId: string;
	readonly firstStepTasks: number;
	readonly tasks: number;
	acceptedAt: number | undefined;
	/** Set if all attempts to submit the job were refused: it must never run. */
	rejectedAt: number | undefined;
	cancelSentAt: number | undefined;
	/** Set once the cancel is confirmed. */
	cancelledAt: number | undefined;
};

const idDigits = 16;
const hexadecimal = 16;
const maximumAttempts = 4;
const retryDelayMs = 60;
const meanIntervalMs = 120;
const cancelPercent = 8;
const checkPercent = 60;
const allPercent = 100;
/** An accepted job must be known after this time to every host that has been calm for `calmMs`. */
const visibleMs = 3000;
const calmMs = 4000;
/** Jobs accepted between `visibleMs` and `visibleMs + recentMs` ago are queried additionally, as a stale view shows at these. */
const recentMs = 1500;
const recentIntervalMs = 80;
const refusalStatuses = new Set([429, 503]);
const refusalSlackMs = 150;

export type SoakLoadOptions = {
	readonly fleet: SoakFleet;
	readonly draws: SeededRandom;
	/** A random sequence of its own, so that queries of recent jobs do not change the other draws. */
	readonly recentJobDraws: SeededRandom;
	readonly jobs: Map<string, SoakJob>;
	readonly checker: RunChecker;
};

export class SoakLoad {
	static create(options: SoakLoadOptions): SoakLoad {
		return new SoakLoad(options);
	}

	/** Number of answers by status; 0 stands for no answer. */
	readonly answers = new Map<number, number>();
	private nextJob = 1;
	private readonly inFlight = new Set<Promise<void>>();

	private constructor(private readonly options: SoakLoadOptions) {}

	/** Submits jobs until a deadline (monotonic clock), and waits for all calls to end. */
	async run(deadline: number): Promise<void> {
		await Promise.all([this.submitAll(deadline), this.checkRecentJobs(deadline)]);
		await Promise.all(this.inFlight);
	}

	private async submitAll(deadline: number): Promise<void> {
		const {draws} = this.options;
		while (performance.now() < deadline) {
			this.track(this.submit());
			if (draws.drawInteger(1, allPercent) <= checkPercent) {
				this.track(this.checkRandomJob());
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(draws.drawFraction() * 2 * meanIntervalMs);
		}
	}

	private async checkRecentJobs(deadline: number): Promise<void> {
		const {jobs, recentJobDraws, fleet} = this.options;
		while (performance.now() < deadline) {
			const now = performance.now();
			const recentJobs = [...jobs.values()].filter(({acceptedAt}) => acceptedAt !== undefined && acceptedAt < now - visibleMs && acceptedAt > now - visibleMs - recentMs);
			if (recentJobs.length > 0) {
				this.track(this.checkJob(recentJobDraws.select(recentJobs), recentJobDraws.select(fleet.hosts)));
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(recentIntervalMs);
		}
	}

	private track(work: Promise<void>): void {
		const tracked = work.finally(() => {
			this.inFlight.delete(tracked);
		});
		this.inFlight.add(tracked);
	}

	private async submit(): Promise<void> {
		const {draws, jobs} = this.options;
		const firstStepTasks = draws.drawInteger(1, 4);
		const secondStepTasks = draws.drawInteger(1, 3);
		const job: SoakJob = {
			jobId: (this.nextJob++).toString(hexadecimal).padStart(idDigits, '0'),
			firstStepTasks,
			tasks: firstStepTasks + secondStepTasks,
			acceptedAt: undefined,
			rejectedAt: undefined,
			cancelSentAt: undefined,
			cancelledAt: undefined,
		};
		jobs.set(job.jobId, job);
		const step = {cpu: standInTaskCpu, 'mem-mb': 10, 'estimate-ms': 200};
		const statuses = await this.callHosts('POST', job.jobId, {spec: 'plan', steps: [{...step, count: firstStepTasks}, {...step, count: secondStepTasks, 'depends-on': [0]}]});
		if (statuses.includes(200)) {
			job.acceptedAt = performance.now();
			await this.cancelSometimes(job);
		} else if (statuses.every(status => refusalStatuses.has(status))) {
			job.rejectedAt = performance.now() + refusalSlackMs;
		}
	}

	private async cancelSometimes(job: SoakJob): Promise<void> {
		if (this.options.draws.drawInteger(1, allPercent) > cancelPercent) {
			return;
		}

		job.cancelSentAt = performance.now();
		const statuses = await this.callHosts('DELETE', job.jobId);
		if (statuses.some(status => status === 200 || status === 410)) {
			job.cancelledAt = performance.now();
		}
	}

	private async callHosts(method: 'POST' | 'DELETE', jobId: string, body?: unknown): Promise<number[]> {
		const {fleet, draws} = this.options;
		const statuses: number[] = [];
		while (statuses.length < maximumAttempts && statuses.at(-1) !== 200) {
			// eslint-disable-next-line no-await-in-loop
			const {status} = await this.call(draws.select(fleet.hosts), method, jobId, body);
			statuses.push(status);
			// eslint-disable-next-line no-await-in-loop
			await sleep(retryDelayMs);
		}

		return statuses;
	}

	private async call(host: SoakHost, method: 'POST' | 'GET' | 'DELETE', jobId: string, body?: unknown): Promise<CallAnswer> {
		const answer = await this.options.fleet.call(host, method, jobId, body);
		this.answers.set(answer.status, (this.answers.get(answer.status) ?? 0) + 1);
		return answer;
	}

	private async checkRandomJob(): Promise<void> {
		const {jobs, draws, fleet} = this.options;
		const accepted = [...jobs.values()].filter(job => job.acceptedAt !== undefined);
		if (accepted.length === 0) {
			return;
		}

		await this.checkJob(draws.select(accepted), draws.select(fleet.hosts));
	}

	private async checkJob(job: SoakJob, host: SoakHost): Promise<void> {
		const isCalm = host.faults === 0 && host.calmSince < performance.now() - calmMs;
		const isVisible = (job.acceptedAt ?? 0) < performance.now() - visibleMs;
		const {status, state} = await this.call(host, 'GET', job.jobId);
		this.checkAnswer(job, {status, ...(state !== undefined && {state})}, isCalm && isVisible && host.faults === 0);
	}

	private checkAnswer(job: SoakJob, {status, state}: CallAnswer, mustBeKnown: boolean): void {
		const {checker} = this.options;
		// 410: the host's view is fresh and has no such job.
		if (status === 410 && mustBeKnown && job.cancelSentAt === undefined) {
			checker.report(`${job.jobId} is accepted but unknown to a calm host`);
		}

		if (state === 'completed' && !checker.isDone(job.jobId, job.tasks)) {
			checker.report(`${job.jobId} is shown as completed but not all of its tasks are done`);
		}

		if (state === 'failed' || (state === 'cancelled' && job.cancelSentAt === undefined)) {
			checker.report(`${job.jobId} is shown as ${state} without cause`);
		}
	}
}
