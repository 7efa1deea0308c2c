/** A model of entry hosts, store and workers for tests without network: seeded delays, lost answers, late orders, crashes. */
import {xoroshiro128plus, unsafeUniformIntDistribution, type RandomGenerator} from 'pure-rand';
import type {Instant} from '../../types/time.js';
import type {JobId} from '../../types/ids.js';
import type {SchedulerEffect} from '../effects.js';
import type {SchedulerEvent} from '../events.js';
import {reduceScheduler} from '../reduce.js';
import {createSchedulerState, type SchedulerState} from '../state.js';
import type {
	FleetConfig, JobDefinition, Resources, RunEnd, StepDefinition,
} from '../types.js';
import {modelSettings} from './model-settings.js';
import {ModelStore} from './model-store.js';
import {ModelWorker} from './model-worker.js';

const wallStart = 1_800_000_000_000;
const stepMs = 5;
const readMs = 60;
const tickMs = 25;
const answerTimeoutMs = 600;
const percentAll = 100;
const stoppingMs = 200;

/** How often, in percent, an answer is lost or an order carried out late; and how often a host or worker crashes. */
export type ModelFaults = {readonly lostPercent: number; readonly latePercent: number; readonly crashEveryMs: number};

export const noFaults: ModelFaults = {lostPercent: 0, latePercent: 0, crashEveryMs: Number.POSITIVE_INFINITY};

type EventBody = SchedulerEvent extends infer Event ? (Event extends SchedulerEvent ? Omit<Event, 'at' | 'wallAt'> : never) : never;
type Host = {state: SchedulerState; isUp: boolean; life: number; ledgerOffset: number | undefined; intakeOffset: number; nextIntakeAt: number; nextReadAt: number; nextTickAt: number; readonly index: number};
type Due = {readonly at: number; readonly run: () => void};

export const poolName = 'trucks';
export const queueName = 'replans';

export const modelConfig: FleetConfig = {
	version: 1,
	queues: [{
		name: queueName, host: 'h', pathPrefix: '/q/', pool: poolName, priority: 0, maxAttempts: 3, stretch: 2, latencyTargetMs: 600, timeoutMs: 3000, advice: undefined,
	}],
	pools: [{
		name: poolName, isSpare: false, maxConnections: 64, healthPath: '/health', hasAdmissionCheck: true,
	}],
};

/** A step of equal short tasks; `changes` replaces single fields. */
export function createStep(changes: Partial<StepDefinition> = {}): StepDefinition {
	return {
		count: 3,
		need: {cpu: 2000, memoryMb: 100, gpu: 0},
		estimateMs: 500,
		dependsOn: [],
		isCheckpointing: false,
		isGang: false,
		isSameRack: false,
		requiredLabel: '',
		dataRack: '',
		maxPerWorker: 0,
		isSpeculative: false,
		isLongRunning: false,
		latencyTargetMs: 0,
		isFiller: false,
		maxUnavailable: 0,
		...changes,
	};
}

/** A job of the model's queue. */
export function createJob(number: number, steps: readonly StepDefinition[], changes: Partial<JobDefinition> = {}): JobDefinition {
	return {
		jobId: number.toString(16).padStart(16, '0') as JobId, queue: queueName, pool: poolName, spec: 's', steps, runCount: 0, firstRunAt: 0 as Instant, intervalMs: 0, ...changes,
	};
}

function addInstants(body: EventBody, at: number, wallAt: Instant): SchedulerEvent {
	const event = {...body, at, wallAt};
	return event;
}

export class ModelFleet {
	static create(options: {readonly seed: number; readonly hosts: number; readonly workers: number; readonly faults: ModelFaults; readonly startWindowBytes?: number}): ModelFleet {
		return new ModelFleet(options);
	}

	readonly store = ModelStore.create();
	readonly workers: ModelWorker[] = [];
	readonly hosts: Host[] = [];
	/** Promises that did not hold. */
	readonly violations: string[] = [];
	readonly events: string[] = [];
	faults: ModelFaults;
	/** How long followers leave the intake unread. */
	followerIntakeMs = 0;
	/** How much later workers' answers come, as over a full link; those beyond the time-out count as lost. */
	slowAnswerMs = 0;
	/** Most orders without an outcome at once: starts in all, and stops of one run. */
	mostOpenStarts = 0;
	mostOpenStops = 0;
	now = 0;
	private readonly openOrders = new Map<string, number>();
	private readonly startWindowBytes: number;
	private readonly random: RandomGenerator;
	private readonly dues: Due[] = [];
	private readonly jobs = new Map<string, JobDefinition>();
	private readonly notedDone = new Set<string>();
	private readonly failures = new Map<string, number>();
	private readonly cancelledAt = new Map<string, number>();
	private nextCrashAt: number;

	private constructor({seed, hosts, workers, faults, startWindowBytes}: {readonly seed: number; readonly hosts: number; readonly workers: number; readonly faults: ModelFaults; readonly startWindowBytes?: number}) {
		this.startWindowBytes = startWindowBytes ?? modelSettings.startWindowBytes;
		this.random = xoroshiro128plus(seed);
		this.faults = faults;
		this.nextCrashAt = faults.crashEveryMs;
		for (let index = 0; index < workers; index++) {
			this.workers.push(ModelWorker.create({
				id: `w-${index}`, bornAt: 1, address: `w-${index}`, pool: poolName, availabilityZone: 'a', capacity: {cpu: 8000, memoryMb: 100_000, gpu: 0}, labels: ['a', `r-${index % 2}`], isDraining: false, remainingMs: undefined, machineId: `m-${index}`,
			}));
		}

		for (let index = 0; index < hosts; index++) {
			this.hosts.push(this.createHost(index, 0));
		}
	}

	/** Hands a job in; it is stored at once. */
	submit(job: JobDefinition): void {
		this.jobs.set(job.jobId, job);
		this.store.intake.push({type: 'job', job});
	}

	cancel(jobId: JobId): void {
		this.store.intake.push({type: 'cancel', jobId});
		this.cancelledAt.set(jobId, this.now);
	}

	/** Lets time pass. */
	run(forMs: number): void {
		const end = this.now + forMs;
		while (this.now < end) {
			this.now += stepMs;
			this.takeStep();
		}
	}

	/** The leader with the highest token. */
	findLeader(): SchedulerState | undefined {
		const leaders = this.hosts.filter(host => host.isUp && host.state.leadership.role === 'leader').map(host => host.state);
		return leaders.toSorted((a, b) => b.leadership.token - a.leadership.token)[0];
	}

	/** What a host shows of a job. */
	getPhase(jobId: string, host = 0): string | undefined {
		return this.hosts[host]?.state.jobs.get(jobId as JobId)?.phase;
	}

	/** Asks the leading host to give the lead back; its process ends a little later and starts again. */
	stopLeader(downMs: number): void {
		const host = this.hosts.find(candidate => candidate.isUp && candidate.state.leadership.role === 'leader');
		if (host) {
			this.push(host, {type: 'stop/requested'});
			this.schedule(stoppingMs, () => {
				this.killHost(host.index, downMs);
			});
		}
	}

	killHost(index: number, downMs: number): void {
		const host = this.hosts[index]!;
		host.isUp = false;
		host.life++;
		this.schedule(downMs, () => {
			// It may have been killed and started again meanwhile.
			this.hosts[index]!.isUp = false;
			this.hosts[index] = this.createHost(index, host.life);
		});
	}

	killWorker(index: number, downMs: number): void {
		const worker = this.workers[index]!;
		worker.crash();
		this.schedule(downMs, () => {
			worker.restart(this.now);
		});
	}

	/** True if a task of the job was given as many failing runs as its queue allows. */
	canFail(jobId: string): boolean {
		return [...this.failures].some(([task, count]) => task.startsWith(jobId) && count >= modelConfig.queues[0]!.maxAttempts);
	}

	countRuns(task: string): number {
		return this.workers.filter(worker => worker.isUp && worker.runs.has(task)).length;
	}

	draw(least: number, most: number): number {
		return unsafeUniformIntDistribution(least, most, this.random);
	}

	private createHost(index: number, life: number): Host {
		return {
			index,
			isUp: true,
			life,
			ledgerOffset: undefined,
			intakeOffset: 0,
			nextIntakeAt: 0,
			nextReadAt: this.now + this.draw(0, readMs),
			nextTickAt: this.now,
			state: createSchedulerState({
				...modelSettings, startWindowBytes: this.startWindowBytes, holder: `host-${index}/${life}`, spread: this.draw(0, percentAll) / percentAll, firstSequence: 1 + this.draw(0, 1_000_000),
			}),
		};
	}

	private takeStep(): void {
		for (const due of this.dues.splice(0).toSorted((a, b) => a.at - b.at)) {
			if (due.at <= this.now) {
				due.run();
			} else {
				this.dues.push(due);
			}
		}

		for (const worker of this.workers) {
			worker.advance(this.now);
		}

		this.crashSome();
		for (const host of this.hosts) {
			if (host.isUp) {
				this.advanceHost(host);
			}
		}
	}

	private crashSome(): void {
		if (this.now < this.nextCrashAt || !Number.isFinite(this.faults.crashEveryMs)) {
			return;
		}

		this.nextCrashAt = this.now + this.draw(Math.ceil(this.faults.crashEveryMs / 2), this.faults.crashEveryMs * 2);
		if (this.draw(0, 1) === 0) {
			this.killHost(this.draw(0, this.hosts.length - 1), this.draw(300, 4000));
		} else {
			this.killWorker(this.draw(0, this.workers.length - 1), this.draw(300, 6000));
		}
	}

	private advanceHost(host: Host): void {
		if (this.now >= host.nextReadAt) {
			host.nextReadAt = this.now + readMs;
			this.readStore(host);
		}

		if (this.now >= host.nextTickAt) {
			host.nextTickAt = this.now + tickMs;
			this.push(host, {type: 'clock/ticked'});
		}
	}

	private readStore(host: Host): void {
		if (!host.state.config) {
			this.push(host, {type: 'config/read', config: modelConfig});
		}

		const {role} = host.state.leadership;
		// A host may become the leader between two of its reads.
		if (this.now >= host.nextIntakeAt) {
			host.nextIntakeAt = this.now + (role === 'leader' ? 0 : this.followerIntakeMs);
			this.readIntake(host);
		}

		if (role === 'leader') {
			this.push(host, {type: 'workers/listed', workers: this.workers.filter(({isUp}) => isUp).map(({entry, bornAt}) => ({...entry, bornAt})), isReloaded: false});
			host.ledgerOffset = undefined;
			return;
		}

		const type = host.ledgerOffset === undefined ? 'ledger/loaded' : 'ledger/read';
		const entries = this.store.ledger.slice(host.ledgerOffset ?? 0);
		host.ledgerOffset = this.store.ledger.length;
		this.push(host, {type, entries, nextOffset: this.store.ledger.length});
	}

	private readIntake(host: Host): void {
		const records = this.store.intake.slice(host.intakeOffset);
		host.intakeOffset = this.store.intake.length;
		if (records.length > 0) {
			this.push(host, {type: 'intake/read', records});
		}
	}

	private push(host: Host, body: EventBody): void {
		this.countOrder(body, -1);
		const wallAt = (wallStart + this.now) as Instant;
		for (const effect of reduceScheduler(host.state, addInstants(body, this.now, wallAt))) {
			this.runEffect(host, effect);
		}
	}

	/** Counts orders that are without an outcome. */
	private countOrder(order: EventBody | SchedulerEffect, change: 1 | -1): void {
		if (order.type === 'worker/start' || order.type === 'start/ended') {
			const open = (this.openOrders.get('start') ?? 0) + change;
			this.openOrders.set('start', open);
			this.mostOpenStarts = Math.max(this.mostOpenStarts, open);
		} else if (order.type === 'worker/stop' || order.type === 'stop/ended') {
			const key = `${order.task}/${order.run}`;
			const open = (this.openOrders.get(key) ?? 0) + change;
			this.openOrders.set(key, open);
			this.mostOpenStops = Math.max(this.mostOpenStops, open);
		}
	}

	private schedule(inMs: number, run: () => void): void {
		this.dues.push({at: this.now + inMs, run});
	}

	/** Carries something out after a delay and answers after another; either may go wrong. */
	private call(host: Host, execute: () => EventBody, unknown: EventBody, slowMs = 0): void {
		const {life} = host;
		const answer = (inMs: number, event: EventBody) => {
			this.schedule(inMs, () => {
				if (host.isUp && host.life === life) {
					this.push(host, event);
				}
			});
		};

		const dice = this.draw(1, percentAll);
		if (dice <= this.faults.latePercent) {
			this.schedule(this.draw(2000, 12_000), () => {
				execute();
			});
			answer(answerTimeoutMs, unknown);
			return;
		}

		this.schedule(this.draw(1, 10), () => {
			const event = execute();
			if (dice <= this.faults.latePercent + this.faults.lostPercent || slowMs >= answerTimeoutMs) {
				answer(answerTimeoutMs, unknown);
			} else {
				answer(this.draw(1, 10) + slowMs, event);
			}
		});
	}

	/** Effects on machines, advice and waves have no counterpart in the model. */
	private runEffect(host: Host, effect: SchedulerEffect): void {
		this.countOrder(effect, 1);
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check
		switch (effect.type) {
			case 'ledger/claim': {
				const {at} = effect;
				this.call(host, () => ({type: 'claim/ended', claimedAt: at, outcome: this.store.claim(at, effect.token, effect.sequence, effect.holder)}), {type: 'claim/ended', claimedAt: at, outcome: 'unknown'});
				break;
			}

			case 'ledger/commit': {
				const {sequence} = effect;
				this.call(host, () => ({type: 'commit/ended', sequence, outcome: this.store.append(effect.token, sequence, effect.records)}), {type: 'commit/ended', sequence, outcome: 'unknown'});
				break;
			}

			case 'ledger/reload': {
				host.ledgerOffset = undefined;
				break;
			}

			case 'worker/start': {
				this.callStart(host, effect);
				break;
			}

			case 'worker/stop': {
				const {task, run} = effect;
				const base = {
					type: 'stop/ended' as const, workerId: effect.worker.id, bornAt: effect.worker.bornAt, task, run,
				};
				this.callWorker(host, effect.worker.id, worker => ({...base, outcome: worker.stop(task, run, effect.token) ? 'stopped' : 'fenced'}), {...base, outcome: 'unknown'});
				break;
			}

			case 'worker/hold': {
				this.callHold(host, effect);
				break;
			}

			case 'log': {
				if (effect.event === 'handler-failed') {
					this.violations.push(`handler failed: ${String(effect.fields.reason)}`);
				}

				this.events.push(`${this.now} host-${host.index} ${effect.event} ${JSON.stringify(effect.fields)}`);
				break;
			}

			default: {
				break;
			}
		}
	}

	private callWorker(host: Host, workerId: string, execute: (worker: ModelWorker) => EventBody, unknown: EventBody): void {
		const worker = this.workers.find(({entry}) => entry.id === workerId)!;
		this.call(host, () => worker.isUp ? execute(worker) : unknown, unknown, this.slowAnswerMs);
	}

	private callStart(host: Host, effect: Extract<SchedulerEffect, {type: 'worker/start'}>): void {
		const {task, run} = effect;
		const base = {
			type: 'start/ended' as const, workerId: effect.worker.id, bornAt: effect.worker.bornAt, task, run, clockMs: undefined,
		};
		this.callWorker(host, effect.worker.id, worker => {
			const {need, estimateMs} = this.findStep(task);
			const end: RunEnd = this.faults.lostPercent > 0 && this.draw(1, percentAll) === 1 ? 'failed' : 'done';
			const hadRun = worker.runs.get(task)?.run === run;
			const outcome = worker.start({
				run: {
					task, run, need, startedAt: this.now, endsAt: this.now + estimateMs, end,
				}, untilMs: effect.untilMs, token: effect.token,
			}, this.now);
			if (outcome === 'started' && !hadRun) {
				this.failures.set(task, (this.failures.get(task) ?? 0) + (end === 'failed' ? 1 : 0));
				this.checkStart(task, need, worker);
			}

			return {...base, outcome};
		}, {...base, outcome: 'unknown'});
	}

	private callHold(host: Host, effect: Extract<SchedulerEffect, {type: 'worker/hold'}>): void {
		const base = {
			type: 'hold/ended' as const, workerId: effect.worker.id, bornAt: effect.worker.bornAt, sentAt: this.now, isExtra: effect.isExtra, clockMs: undefined, answerBornAt: undefined, running: [], ended: [],
		};
		this.callWorker(host, effect.worker.id, worker => {
			// An acknowledgement that was on its way when the process ended means nothing to the next one (docs/QUESTIONS.md).
			const ackedEnd = worker.bornAt === effect.worker.bornAt ? effect.ackedEnd : 0;
			this.checkAcknowledged(worker, ackedEnd);
			const lists = worker.hold({...effect, ackedEnd}, this.now);
			return lists
				? {
					...base, outcome: 'held', clockMs: this.now, answerBornAt: worker.bornAt, ...lists,
				}
				: {...base, outcome: 'fenced'};
		}, {...base, outcome: 'unknown'});
	}

	/** What a worker is told to forget must be stored, or belong to a run that counts no more. */
	private checkAcknowledged(worker: ModelWorker, upTo: number): void {
		for (const row of worker.listEndsUpTo(upTo)) {
			if (row.how === 'done' && !this.isStored(row.task, row.run)) {
				this.violations.push(`${this.now}: the end of ${row.task} was acknowledged before it was stored`);
			}
		}

		this.noteCompleted();
	}

	private isStored(task: string, run: number): boolean {
		const [jobId, , step, index] = task.split('.');
		const entry = this.store.ledger.findLast(({record}) => record.type === 'progress' && record.jobId === jobId);
		const progress = entry?.record.type === 'progress' ? entry.record.progress : undefined;
		const row = progress?.rows.find(candidate => candidate.step === Number(step) && candidate.index === Number(index));
		return this.cancelledAt.has(jobId!) || progress?.phase === 'completed' || progress?.phase === 'failed' || row?.status === 'done' || (row?.run ?? 0) > run;
	}

	private noteCompleted(): void {
		for (const host of this.hosts) {
			for (const job of host.state.jobs.values()) {
				if (job.phase === 'completed') {
					this.notedDone.add(job.definition.jobId);
				}
			}
		}
	}

	private findStep(task: string): StepDefinition {
		const [jobId, , step] = task.split('.');
		return this.jobs.get(jobId!)!.steps[Number(step)]!;
	}

	private checkStart(task: string, need: Resources, worker: ModelWorker): void {
		const [jobId] = task.split('.');
		if (this.countRuns(task) > 1) {
			this.violations.push(`${this.now}: ${task} runs twice at once`);
		}

		if (this.notedDone.has(jobId!)) {
			this.violations.push(`${this.now}: ${task} starts though its job was shown as completed`);
		}

		if (worker.countUsedCpu() > worker.entry.capacity.cpu) {
			this.violations.push(`${this.now}: ${worker.entry.id} is over its room by ${need.cpu}`);
		}
	}
}
