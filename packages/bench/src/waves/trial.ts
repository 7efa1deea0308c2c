/** One wave over the fake platform: the fold and the planner driven by events in virtual time. */
import {
	countPool, createState, getWaveStatus, listedHostSchema, reduce,
	type Effect, type EffectOf, type EffectType, type Event, type HostId, type Incarnation, type Instant, type ListedHost, type LogRecord, type Offset, type PoolId, type State,
	type WaveId, type WavePolicyName,
} from '@rhubarblever/core';
import {FakePlatform, isWorkerDown, type FakeWorker} from './fake-platform.js';
import {computeKnownTime} from './known-schedule.js';
import {computeLeastTime, type OutTimes} from './least-time.js';
import {JobSource, type Load} from './job-source.js';
import {
	createWorkers, minuteMs, slotsPerWorker, waveStartMs, type FirmShape,
} from './shapes.js';

export type TrialSettings = {
	readonly firm: FirmShape;
	readonly policy: WavePolicyName;
	readonly seed: number;
	readonly hasFailure: boolean;
	readonly load: Load;
};

export type TrialResult = {
	readonly rollOutMs: number;
	/** What the budget allows at best with the drains as they were to be when the wave began. */
	readonly leastMs: number;
	/** The same with the times that hosts were then out of service, which the planner may have shortened. */
	readonly leastAsRunMs: number;
	/** The same if no host had to wait for a task. */
	readonly leastWithoutDrainsMs: number;
	/** The shortest schedule found with all times out known as run, without failures. */
	readonly knownMs: number;
	/** Idle host-milliseconds held back: hosts out of service, less the share that still runs tasks. */
	readonly bufferMs: number;
	readonly moves: number;
	/** Checkpoints asked for. */
	readonly checkpoints: number;
	/** Milliseconds of work that stops threw away. */
	readonly lostMs: number;
	/** Broken invariants, tasks cut, and instants at which hosts out by plan took the pool below its budget. */
	readonly violations: number;
	readonly isDone: boolean;
};

const stepMs = 500;
const limitMs = 24 * 60 * minuteMs;
const drainLimitMs = 15 * minuteMs;
const reserveShare = 0.25;
const pool = 'guarded' as PoolId;
const coresPerSlot = 8;
const firstOffset = 0 as Offset;
const waveId = 'wave' as WaveId;

type EffectTarget = Pick<WaveTrial, 'platform' | 'jobs' | 'arriving' | 'violations' | 'moves'>;

/** What the fake does with the effects that matter to a wave; others are dropped. A snapshot is never answered, so that no second one is encoded. */
const effectRunners: {readonly [Type in EffectType]?: (trial: EffectTarget, effect: EffectOf<Type>) => void} = {
	'log/append'(trial, {records}) {
		trial.platform.append(records);
		trial.arriving.push({type: 'log/appended', at: trial.platform.now as Instant, recordIds: records.map(record => record.recordId)});
		trial.moves += records.filter(record => record.schema === 'move-lend').length;
	},
	'log/schedule-flush'({platform, arriving}) {
		arriving.push({type: 'log/flush-due', at: platform.now as Instant});
	},
	'snapshot/read'({platform, arriving}) {
		arriving.push({
			type: 'snapshot/read', at: platform.now as Instant, records: [], firstOffset, nextOffset: firstOffset,
		});
	},
	'operation/start'({platform, arriving}, effect) {
		arriving.push({
			type: 'operation/reported', at: platform.now as Instant, operationId: effect.operationId, state: platform.start(effect),
		});
	},
	'operation/read'({platform, arriving}, effect) {
		arriving.push({
			type: 'operation/reported', at: platform.now as Instant, operationId: effect.operationId, state: platform.read(effect),
		});
	},
	'tasks/list'({platform, arriving}) {
		arriving.push({type: 'tasks/listed', at: platform.now as Instant, tasks: platform.tasks.list(platform.now)});
	},
	'task/start'({platform, jobs, arriving}, effect) {
		const answer = platform.startTask(effect, jobs.getRunMs(effect.jobId)) ? 'started' : 'refused';
		arriving.push({
			type: 'task/start-answered', at: platform.now as Instant, jobId: effect.jobId, attempt: effect.attempt, answer,
		});
	},
	'task/renew'({platform}, effect) {
		platform.tasks.renew(effect);
	},
	'task/checkpoint'({platform}, effect) {
		platform.tasks.writeCheckpoint(effect, platform.now);
	},
	'task/stop'({platform}, effect) {
		platform.tasks.stop(effect, platform.now);
	},
	'invariant/violated'(trial) {
		trial.violations += 1;
	},
};

export class WaveTrial {
	static create(settings: TrialSettings): WaveTrial {
		return new WaveTrial(settings);
	}

	readonly platform: FakePlatform;
	readonly jobs: JobSource;
	/** Answers of the platform, which come with the next step. */
	readonly arriving: Event[] = [];
	violations = 0;
	moves = 0;
	private readonly workers: FakeWorker[];
	private readonly state: State;
	private readonly outTimes = new Map<FakeWorker, number>();
	private bufferMs = 0;

	private constructor(private readonly settings: TrialSettings) {
		this.workers = createWorkers(settings.seed, settings.hasFailure);
		this.platform = FakePlatform.create(this.workers);
		this.state = createState({
			self: {hostId: 'entry-1' as HostId, availabilityZone: 'zone-0' as never, address: '127.0.0.1:1'},
			incarnation: 'life-1' as Incarnation,
			peers: [],
			routingPolicy: 'least-outstanding',
			seed: settings.seed,
		});
		this.jobs = JobSource.create(settings.load, settings.seed);
		this.platform.append([...this.listRecords(), ...this.jobs.listFirst()]);
		this.reduce({type: 'hosts/listed', at: this.platform.now as Instant, hosts: this.listHosts()});
	}

	/** Runs until the wave is over. */
	run(): TrialResult {
		while (this.platform.now < waveStartMs) {
			this.runStep();
		}

		this.platform.append([this.createWave()]);
		const foundTimes = new Map(this.workers.map(worker => [worker, this.measureOutTime(worker)]));
		return this.runWave(foundTimes);
	}

	/** How long a worker would be out if it were drained now. */
	private measureOutTime(worker: FakeWorker): number {
		return this.platform.tasks.measureDrain(worker.hostId, jobId => !this.jobs.isResumable(jobId)) + worker.rebootMs;
	}

	private runWave(foundTimes: OutTimes): TrialResult {
		let status = 'active';
		while (status === 'active' && this.platform.now < limitMs) {
			this.runStep();
			this.measure();
			const wave = this.state.fleet.waves.get(waveId);
			status = wave ? getWaveStatus(this.state.fleet, wave, this.platform.now as Instant) : status;
		}

		const {budget} = this.settings.firm;
		const rebootTimes = new Map(this.workers.map(worker => [worker, worker.rebootMs]));
		return {
			rollOutMs: this.platform.now - waveStartMs,
			leastMs: computeLeastTime(foundTimes, budget, waveStartMs),
			leastAsRunMs: computeLeastTime(this.outTimes, budget, waveStartMs),
			leastWithoutDrainsMs: computeLeastTime(rebootTimes, budget, waveStartMs),
			knownMs: computeKnownTime(this.outTimes, budget),
			bufferMs: this.bufferMs,
			moves: this.moves,
			checkpoints: this.platform.tasks.checkpoints,
			lostMs: this.platform.tasks.lostMs,
			violations: this.violations + this.platform.cutTasks,
			isDone: status === 'done',
		};
	}

	private runStep(): void {
		this.platform.tick(stepMs);
		const at = this.platform.now as Instant;
		const workers = this.platform.takeList();
		if (workers) {
			this.reduce({type: 'workers/listed', at, workers});
		}

		for (const event of this.arriving.splice(0)) {
			this.reduce({...event, at});
		}

		this.reduce({
			type: 'log/read', at, records: this.platform.log.slice(this.state.fleet.nextOffset), firstOffset, nextOffset: this.platform.log.length as Offset,
		});
		this.reduce({type: 'clock/ticked', at});
		this.platform.append(this.platform.tasks.succeeded.splice(0).map(jobId => this.jobs.createNext(jobId)));
	}

	private reduce(event: Event): void {
		for (const effect of reduce(this.state, event)) {
			this.runEffect(effect);
		}
	}

	private runEffect(effect: Effect): void {
		const run = effectRunners[effect.type] as ((trial: EffectTarget, effect: Effect) => void) | undefined;
		run?.(this, effect);
	}

	private measure(): void {
		const out = this.workers.filter(worker => !['up', 'down'].includes(worker.state));
		const counts = this.platform.tasks.countByWorker();
		const busy = out.reduce((sum, worker) => sum + ((counts.get(worker.hostId) ?? 0) / slotsPerWorker), 0);
		for (const worker of out) {
			this.outTimes.set(worker, (this.outTimes.get(worker) ?? 0) + stepMs);
		}

		const reserve = this.settings.policy === 'fixed-buffer' ? Math.ceil(this.workers.length * reserveShare) : 0;
		this.bufferMs += stepMs * (Math.max(reserve, out.length) - busy);
		const {budget} = this.settings.firm;
		const down = this.workers.filter(worker => isWorkerDown(worker, this.platform.now)).length;
		const isBelow = this.workers.length - down - out.length < budget.minimumHealthyHosts;
		const isOver = out.length > budget.maximumHostsOut || countPool(this.state.fleet, pool).out > budget.maximumHostsOut;
		this.violations += Number(isOver || (isBelow && down === 0));
	}

	private listRecords(): LogRecord[] {
		const {budget} = this.settings.firm;
		const bodies = [
			{schema: 'pool', version: 3, body: {pool, budget}},
			...this.workers.map(({hostId, availabilityZone, rack}) => ({
				schema: 'host', version: 1, body: {
					hostId, pool, availabilityZone, rack,
				},
			})),
		];
		return bodies.map((body, index) => ({...body, recordId: `setup-${index}` as never}));
	}

	private createWave(): LogRecord {
		const {firm: {weights}, policy} = this.settings;
		return {
			recordId: waveId as never,
			schema: 'wave',
			version: 1,
			body: {
				waveId, pool, finishBy: limitMs, drainLimitMs, weights, policy,
			},
		};
	}

	private listHosts(): ListedHost[] {
		return this.workers.map(({hostId, availabilityZone}) => listedHostSchema.parse({
			hostId, role: 'worker', availabilityZone, address: '127.0.0.1:1', state: 'live', cores: slotsPerWorker * coresPerSlot, memoryBytes: 1, accelerators: 0,
		}));
	}
}
