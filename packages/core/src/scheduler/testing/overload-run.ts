/** A pool whose load comes in bursts beyond its capacity, with callers who return when they are refused; compares policies of admission. */
import type {Instant} from '../../types/time.js';
import {judgeAdmission} from '../admission.js';
import {reduceScheduler} from '../reduce.js';
import {estimateCriticalPathMs} from '../run-estimate.js';
import {createSchedulerState, type SchedulerState} from '../state.js';
import type {FleetConfig, JobDefinition} from '../types.js';
import {createJob, createStep, modelConfig} from './model-jobs.js';
import {modelSettings} from './model-settings.js';
import {NarrowLeader} from './narrow-leader.js';

const wallStart = 1_800_000_000_000;
const tickMs = 25;
const workers = 24;
const hosts = 4;
const warmUpMs = 1000;
const burstMs = 4000;
/** With this pause and its factor, the mean over a burst and a pause is `meanLoad`. */
const pauseMs = 16_800;
const burstFactor = 5;
const pauseFactor = 0.05;
const drainMs = 25_000;
const tasksPerStep = 8;
/** Of jobs with two steps; others have one. */
const twoStepShare = 0.6;
const shortestRunMs = 300;
const longestRunMs = 700;
const shortestReadMs = 500;
const longestReadMs = 1500;
/** How long another host takes to learn of a refusal. */
const refusalKnownMs = 2500;
/** A caller gives up when it is refused after this many returns. */
const maxReturns = 3;
const usefulFactor = 3;
/** Bound of the policy `queue-length`: about as many steps as the pool completes within the objective of a job. */
const maxWaitingSteps = 40;

/** Accounts enable admission. */
const config: FleetConfig = {...modelConfig, accounts: []};
const queue = config.queues[0]!;

export type Policy = 'accept-all' | 'queue-length' | 'expected-wait';
/** `late`: late but of some use; `useless`: later than that, or not ended when the run ends. */
export type KindResult = {inTime: number; late: number; useless: number; refused: number; refusedAgain: number};
export type OverloadResult = {readonly byKind: Readonly<Record<'one-step' | 'two-steps', KindResult>>; readonly firstReturns: number; readonly loadRecords: number};

type Caller = {readonly job: JobDefinition; readonly sentAt: number; readonly objectiveMs: number; refusals: number; refusedAt: number; refusedBy: number};
type FollowingHost = {readonly state: SchedulerState; readAt: number; nextReadAt: number; read: number};

export type OverloadOptions = {
	readonly seed: number;
	readonly policy: Policy;
	readonly cycles: number;
	/** Mean load as a multiple of the pool's capacity. */
	readonly meanLoad: number;
};

export class OverloadRun {
	static create(options: OverloadOptions): OverloadRun {
		return new OverloadRun(options);
	}

	readonly leader = NarrowLeader.create({
		settings: {isAdmissionEnabled: true},
		workers, callMs: 0, connectMs: 0, config,
	});

	private readonly hosts: FollowingHost[] = [];
	private readonly accepted: Caller[] = [];
	private returning: Array<{readonly at: number; readonly caller: Caller}> = [];
	private readonly results = {'one-step': createResult(), 'two-steps': createResult()};
	private jobCount = 0;
	private firstReturns = 0;
	private random: number;

	private constructor(private readonly options: OverloadOptions) {
		this.random = options.seed;
		for (let index = 0; index < hosts; index++) {
			const host: FollowingHost = {
				state: createSchedulerState({...modelSettings, isAdmissionEnabled: true}), readAt: 0, nextReadAt: 0, read: 0,
			};
			reduceScheduler(host.state, {...this.createTime(), type: 'config/read', config});
			this.hosts.push(host);
		}
	}

	run(): OverloadResult {
		this.leader.run(warmUpMs);
		const {cycles, meanLoad} = this.options;
		const cores = workers * 8;
		const meanJobMs = 2 * tasksPerStep * (1 + twoStepShare) * (shortestRunMs + longestRunMs) / 2;
		const meanPerMs = meanLoad * cores / meanJobMs;
		for (let cycle = 0; cycle < cycles; cycle++) {
			this.runPhase(burstMs, meanPerMs * burstFactor);
			this.runPhase(pauseMs, meanPerMs * pauseFactor);
		}

		this.runPhase(drainMs, 0);
		this.countUnfinished();
		return {byKind: this.results, firstReturns: this.firstReturns, loadRecords: this.leader.records.filter(({type}) => type === 'load').length};
	}

	/** A random number from 0 to 1; the seed determines all of them. */
	private readonly draw = (): number => {
		this.random = ((this.random * 1_103_515_245) + 12_345) % 2_147_483_648;
		return this.random / 2_147_483_648;
	};

	private drawBetween(from: number, to: number): number {
		return from + (this.draw() * (to - from));
	}

	private createTime() {
		return {at: this.leader.now, wallAt: (wallStart + this.leader.now) as Instant};
	}

	private runPhase(forMs: number, arrivalsPerMs: number): void {
		for (const end = this.leader.now + forMs; this.leader.now < end;) {
			this.leader.run(tickMs);
			this.readLedger();
			this.countEnded();
			const due = this.returning.filter(({at}) => at <= this.leader.now);
			this.returning = this.returning.filter(({at}) => at > this.leader.now);
			for (const {caller} of due) {
				this.send(caller);
			}

			const expected = arrivalsPerMs * tickMs;
			const arrivals = Math.floor(expected) + (this.draw() < expected % 1 ? 1 : 0);
			for (let index = 0; index < arrivals; index++) {
				this.send(this.createCaller());
			}
		}
	}

	private createCaller(): Caller {
		const createOneStep = (dependsOn: readonly number[]) => createStep({count: tasksPerStep, estimateMs: Math.round(this.drawBetween(shortestRunMs, longestRunMs)), dependsOn});
		const steps = this.draw() < twoStepShare ? [createOneStep([]), createOneStep([0])] : [createOneStep([])];
		const job = createJob(++this.jobCount, steps);
		const objectiveMs = (queue.stretch * estimateCriticalPathMs(this.leader.state, {queue: queue.name, steps})) + queue.latencyTargetMs;
		return {
			job, sentAt: this.leader.now, objectiveMs, refusals: 0, refusedAt: 0, refusedBy: -1,
		};
	}

	/** Callers send to a host drawn at random. */
	private send(caller: Caller): void {
		const number = Math.floor(this.draw() * hosts);
		const retryAfterS = this.findRefusal(caller, number);
		if (retryAfterS === undefined) {
			this.accepted.push(caller);
			this.leader.submit({...caller.job, ...(caller.refusals > 0 && {sentAt: (wallStart + caller.sentAt) as Instant})});
			return;
		}

		const result = this.getResult(caller);
		caller.refusals++;
		caller.refusedAt = this.leader.now;
		caller.refusedBy = number;
		this.firstReturns += caller.refusals === 1 ? 1 : 0;
		result.refusedAgain += caller.refusals > 1 ? 1 : 0;
		if (caller.refusals > maxReturns) {
			result.refused++;
		} else {
			this.returning.push({at: this.leader.now + (retryAfterS * 1000), caller});
		}
	}

	private findRefusal(caller: Caller, number: number): number | undefined {
		const {policy} = this.options;
		if (policy === 'queue-length') {
			return this.leader.state.openSteps.size >= maxWaitingSteps ? 1 : undefined;
		}

		if (policy === 'accept-all') {
			return undefined;
		}

		const {now} = this.leader;
		const host = this.hosts[number]!;
		const isKnown = caller.refusals > 0 && (caller.refusedBy === number || now - caller.refusedAt >= refusalKnownMs);
		const verdict = judgeAdmission(host.state, caller.job, {
			now, firstSentAt: isKnown ? caller.sentAt : undefined, ledgerAgeMs: now - host.readAt, draw: this.draw,
		});
		return verdict.outcome === 'refused' ? verdict.retryAfterS : undefined;
	}

	private readLedger(): void {
		const {records, now} = this.leader;
		for (const host of this.hosts) {
			if (now >= host.nextReadAt) {
				const entries = records.slice(host.read).map((record, index) => ({offset: host.read + index, record}));
				host.read = records.length;
				host.readAt = now;
				host.nextReadAt = now + this.drawBetween(shortestReadMs, longestReadMs);
				reduceScheduler(host.state, {
					...this.createTime(), type: 'ledger/read', entries, nextOffset: records.length,
				});
			}
		}
	}

	private countEnded(): void {
		for (const caller of this.accepted.filter(({job}) => this.leader.state.jobs.get(job.jobId)?.phase === 'completed')) {
			this.accepted.splice(this.accepted.indexOf(caller), 1);
			const tookMs = this.leader.now - caller.sentAt;
			const result = this.getResult(caller);
			result.inTime += tookMs <= caller.objectiveMs ? 1 : 0;
			result.late += tookMs > caller.objectiveMs && tookMs <= caller.objectiveMs * usefulFactor ? 1 : 0;
			result.useless += tookMs > caller.objectiveMs * usefulFactor ? 1 : 0;
		}
	}

	private countUnfinished(): void {
		for (const caller of this.accepted) {
			this.getResult(caller).useless++;
		}

		for (const {caller} of this.returning) {
			this.getResult(caller).refused++;
		}
	}

	private getResult({job}: Caller): KindResult {
		return this.results[job.steps.length > 1 ? 'two-steps' : 'one-step'];
	}
}

function createResult(): KindResult {
	return {
		inTime: 0, late: 0, useless: 0, refused: 0, refusedAgain: 0,
	};
}
