/** A model of entry hosts, store and workers for tests without network, with seeded delays, lost answers, delayed calls, stale reads and crashes. */
import type {Instant} from '../../types/time.js';
import type {JobId} from '../../types/ids.js';
import type {SchedulerEvent} from '../events.js';
import {reduceScheduler} from '../reduce.js';
import {createSchedulerState, type SchedulerState} from '../state.js';
import type {FleetConfig, JobDefinition} from '../types.js';
import {ModelChecks} from './model-checks.js';
import {ModelEffects} from './model-effects.js';
import {
	ModelCalls, noReadFaults, type EventBody, type ModelFaults, type ReadFaults,
} from './model-faults.js';
import {
	createCursor, ModelReads, resetCursor, type ModelHost,
} from './model-hosts.js';
import {modelConfig, poolName} from './model-jobs.js';
import {ModelRegistry} from './model-registry.js';
import {modelSettings} from './model-settings.js';
import {ModelStore} from './model-store.js';
import {ModelTime} from './model-time.js';
import {ModelWorker} from './model-worker.js';

export {
	noFaults, noReadFaults, type ModelFaults, type ReadFaults,
} from './model-faults.js';
export {
	createJob, createStep, modelConfig, poolName, queueName,
} from './model-jobs.js';

const wallStart = 1_800_000_000_000;
const stepMs = 5;
const readMs = 60;
const tickMs = 25;
const percentAll = 100;
const stopDelayMs = 200;
const fullCpu = 8000;
/** What a task of the model's steps needs. */
const cpuStep = 2000;

export type ModelFleetOptions = {
	readonly seed: number;
	readonly hosts: number;
	readonly workers: number;
	readonly faults: ModelFaults;
	readonly readFaults?: ReadFaults;
	/** Workers start what they are told to, whether it fits or not. */
	readonly areWorkersUnguarded?: boolean;
	readonly config?: FleetConfig;
	/** Interval of the workers' reports to the registry; 0 (the default): it always shows them as they are. */
	readonly reportMs?: number;
};

function addInstants(body: EventBody, at: number, wallAt: Instant): SchedulerEvent {
	const event = {...body, at, wallAt};
	return event;
}

const clockRangeMs = 9_000_000;
const clockStepMs = 7_654_321;

/** The clock with which a process born at an instant begins, ahead of the former one's or behind. It takes no draw of the model's. */
function computeFirstClock(bornAt: number): number {
	return (bornAt * clockStepMs) % clockRangeMs;
}

export class ModelFleet {
	static create(options: ModelFleetOptions): ModelFleet {
		return new ModelFleet(options);
	}

	readonly store = ModelStore.create();
	readonly workers: ModelWorker[] = [];
	readonly hosts: ModelHost[] = [];
	readonly events: string[] = [];
	faults: ModelFaults;
	readFaults: ReadFaults;
	/** Tasks that crash each worker that starts them: how soon, and how long the worker is then down. */
	readonly deadlyTasks = new Map<string, {readonly crashAfterMs: number; readonly downMs: number}>();
	/** Starts of each task that a worker has begun, and workers that deadly tasks have crashed. */
	readonly starts = new Map<string, number>();
	readonly crashes = new Map<string, number>();
	/** Interval between the intake reads of a follower. */
	followerIntakeIntervalMs = 0;
	private readonly time: ModelTime;
	private readonly checks: ModelChecks;
	private readonly reads: ModelReads;
	private readonly effects: ModelEffects;
	private readonly registry: ModelRegistry;
	/** What the operators' stream holds; hosts read a new version with their next read. */
	private config: FleetConfig = modelConfig;
	private nextCrashAt: number;
	private nextCapacityAt: number;

	private constructor({seed, hosts, workers, faults, readFaults = noReadFaults, areWorkersUnguarded = false, config = modelConfig, reportMs = 0}: ModelFleetOptions) {
		this.time = ModelTime.create(seed);
		this.faults = faults;
		this.readFaults = readFaults;
		this.nextCrashAt = faults.crashEveryMs;
		this.nextCapacityAt = faults.capacityEveryMs ?? Number.POSITIVE_INFINITY;
		const {time, store} = this;
		const push = (host: ModelHost, body: EventBody) => {
			this.push(host, body);
		};

		this.checks = ModelChecks.create({
			time, store, hosts: this.hosts, workers: this.workers,
		});
		this.reads = ModelReads.create({
			time, store, getFaults: () => this.readFaults, push,
		});
		const getFaults = () => this.faults;
		this.effects = ModelEffects.create({
			time, store, getFaults, workers: this.workers, checks: this.checks, calls: ModelCalls.create({time, getFaults, push}), events: this.events, registryLagMs: readMs + stepMs + reportMs, noteStart: (task, worker) => {
				this.noteStart(task, worker);
			},
		});
		this.registry = ModelRegistry.create(this.workers, reportMs);
		this.setConfig(config);
		for (let index = 0; index < workers; index++) {
			this.workers.push(ModelWorker.create({
				id: `w-${index}`, bornAt: 1, address: `w-${index}`, pool: poolName, availabilityZone: 'a', capacity: {cpu: fullCpu, memoryMb: 100_000, gpu: 0}, labels: ['a', `r-${index % 2}`], isDraining: false, remainingMs: undefined, machineId: `m-${index}`,
			}));
		}

		for (const worker of this.workers) {
			worker.isGuarding = !areWorkersUnguarded;
		}

		for (let index = 0; index < hosts; index++) {
			this.hosts.push(this.createHost(index, 0));
		}
	}

	get now(): number {
		return this.time.now;
	}

	/** Violated invariants. */
	get violations(): string[] {
		return this.checks.violations;
	}

	setConfig(config: FleetConfig): void {
		this.config = config;
		this.checks.addConfig(config);
	}

	/** Submits a job, which is stored at once. */
	submit(job: JobDefinition): void {
		this.checks.addJob(job);
		this.store.intake.push({type: 'job', job});
	}

	cancel(jobId: JobId): void {
		this.store.intake.push({type: 'cancel', jobId});
		this.checks.addCancel(jobId);
	}

	/** Advances the time. */
	run(forMs: number): void {
		const end = this.now + forMs;
		while (this.now < end) {
			this.time.advance(stepMs);
			this.runStep();
		}
	}

	/** The leader with the highest token. */
	findLeader(): SchedulerState | undefined {
		const leaders = this.hosts.filter(host => host.isUp && host.state.leadership.role === 'leader').map(host => host.state);
		return leaders.toSorted((a, b) => b.leadership.token - a.leadership.token)[0];
	}

	/** The phase of a job that a host shows to callers. */
	getPhase(jobId: string, host = 0): string | undefined {
		return this.hosts[host]?.state.jobs.get(jobId as JobId)?.phase;
	}

	/** Asks the leader to release the leadership; its process ends a little later and is restarted. */
	stopLeader(downMs: number): void {
		const host = this.hosts.find(candidate => candidate.isUp && candidate.state.leadership.role === 'leader');
		if (host) {
			this.push(host, {type: 'stop/requested'});
			this.time.schedule(stopDelayMs, () => {
				this.killHost(host.index, downMs);
			});
		}
	}

	killHost(index: number, downMs: number): void {
		const host = this.hosts[index]!;
		host.isUp = false;
		host.incarnation++;
		this.time.schedule(downMs, () => {
			// The host may have been killed and restarted in the meantime.
			this.hosts[index]!.isUp = false;
			this.hosts[index] = this.createHost(index, host.incarnation);
		});
	}

	killWorker(index: number, downMs: number): void {
		const worker = this.workers[index]!;
		worker.crash();
		this.time.schedule(downMs, () => {
			worker.restart(this.now, this.now - (this.faults.hasAnyClocks ? computeFirstClock(this.now) : 0));
			if (this.faults.capacityEveryMs !== undefined) {
				// The new incarnation may be of another kind.
				worker.setCpu(this.draw(1, fullCpu / cpuStep) * cpuStep, this.now);
			}
		});
	}

	/** Cuts a worker off from all hosts for a while; its process goes on. */
	cutWorker(index: number, forMs: number): void {
		const worker = this.workers[index]!;
		worker.isCut = true;
		this.time.schedule(forMs, () => {
			worker.isCut = false;
		});
	}

	/** True if a task of the job was given as many failing runs as its queue allows. */
	canFail(jobId: string): boolean {
		return this.checks.canFail(jobId);
	}

	countRuns(task: string): number {
		return this.checks.countRuns(task);
	}

	draw(least: number, most: number): number {
		return this.time.draw(least, most);
	}

	private createHost(index: number, incarnation: number): ModelHost {
		return {
			index,
			isUp: true,
			incarnation,
			intake: createCursor(),
			ledger: createCursor(),
			nextIntakeAt: 0,
			nextReadAt: this.now + this.draw(0, readMs),
			nextTickAt: this.now,
			state: createSchedulerState({
				...modelSettings, holder: `host-${index}/${incarnation}`, claimJitter: this.draw(0, percentAll) / percentAll, firstSequence: 1 + this.draw(0, 1_000_000),
			}),
		};
	}

	private runStep(): void {
		for (const worker of this.workers) {
			worker.advance(this.now);
			this.checks.recordUnlistedEnds(worker);
		}

		this.registry.advance(this.now);
		this.crashRandomProcess();
		this.updateCapacity();
		for (const host of this.hosts) {
			if (host.isUp) {
				this.advanceHost(host);
			}
		}
	}

	private crashRandomProcess(): void {
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

	/** Lets a worker shrink, and grow again some time later. */
	private updateCapacity(): void {
		const {capacityEveryMs} = this.faults;
		if (capacityEveryMs === undefined || this.now < this.nextCapacityAt) {
			return;
		}

		this.nextCapacityAt = this.now + this.draw(Math.ceil(capacityEveryMs / 2), capacityEveryMs * 2);
		const worker = this.workers[this.draw(0, this.workers.length - 1)]!;
		worker.setCpu(this.draw(0, fullCpu / cpuStep) * cpuStep, this.now);
		this.time.schedule(this.draw(100, 5000), () => {
			worker.setCpu(fullCpu, this.now);
		});
	}

	private advanceHost(host: ModelHost): void {
		if (this.now >= host.nextReadAt) {
			host.nextReadAt = this.now + readMs;
			this.readStore(host);
		}

		if (this.now >= host.nextTickAt) {
			host.nextTickAt = this.now + tickMs;
			this.push(host, {type: 'clock/ticked'});
		}
	}

	private readStore(host: ModelHost): void {
		if (host.state.config?.version !== this.config.version) {
			this.push(host, {type: 'config/read', config: this.config});
		}

		const {role} = host.state.leadership;
		// A host may become the leader between two of its reads.
		if (this.now >= host.nextIntakeAt) {
			host.nextIntakeAt = this.now + (role === 'leader' ? 0 : this.followerIntakeIntervalMs);
			this.reads.readIntake(host);
		}

		if (role === 'leader') {
			this.push(host, {type: 'workers/listed', workers: this.registry.listEntries(), isReloaded: false});
			resetCursor(host.ledger);
			return;
		}

		this.reads.readLedger(host);
	}

	private push(host: ModelHost, body: EventBody): void {
		const wallAt = (wallStart + this.now) as Instant;
		for (const effect of reduceScheduler(host.state, addInstants(body, this.now, wallAt))) {
			this.effects.run(host, effect);
		}
	}

	private noteStart(task: string, worker: ModelWorker): void {
		this.starts.set(task, (this.starts.get(task) ?? 0) + 1);
		const deadly = this.deadlyTasks.get(task);
		if (!deadly) {
			return;
		}

		const {bornAt} = worker;
		this.time.schedule(deadly.crashAfterMs, () => {
			if (worker.isUp && worker.bornAt === bornAt && worker.runs.has(task)) {
				this.crashes.set(task, (this.crashes.get(task) ?? 0) + 1);
				this.killWorker(this.workers.indexOf(worker), deadly.downMs);
			}
		});
	}
}
