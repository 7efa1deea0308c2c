/** One wave over the fake platform: the state machine and the planner are driven by events in virtual time. */
import {
	countPool, createState, getWaveStatus, listedHostSchema, reduce,
	type Effect, type EffectOf, type EffectType, type Event, type HostId, type Incarnation, type Instant, type ListedHost, type LogRecord, type Offset, type PoolId, type State,
	type WaveId, type WavePolicyName,
} from '@rhubarblever/core';
import {FakePlatform, isWorkerDown, type FakeWorker} from './fake-platform.js';
import {computeKnownScheduleTime} from './known-schedule.js';
import {computeMinimumTime, type OutOfServiceTimes} from './least-time.js';
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
	/** Lower bound of the roll-out time, from the drain times expected when the wave began. */
	readonly leastMs: number;
	/** The same bound from the actual out-of-service times, which the planner may have shortened. */
	readonly leastAsRunMs: number;
	/** The same bound if no host had to wait for a task to end. */
	readonly leastWithoutDrainsMs: number;
	/** The shortest schedule found with the actual out-of-service times known in advance, without failures. */
	readonly knownMs: number;
	/** Idle host-milliseconds reserved: hosts out of service (at least the fixed buffer, if any), less the share that still runs tasks. */
	readonly bufferMs: number;
	readonly moves: number;
	/** Number of requested checkpoints. */
	readonly checkpoints: number;
	/** Milliseconds of work lost because tasks were stopped after their last checkpoint. */
	readonly lostMs: number;
	/** Number of violated invariants, tasks cut by a reboot, and steps in which planned outages exceeded the pool's budget. */
	readonly violations: number;
	readonly isDone: boolean;
};

const stepMs = 500;
const limitMs = 24 * 60 * minuteMs;
const drainLimitMs = 15 * minuteMs;
/** Must equal `fixedBufferShare` in `planner/policies.ts`. */
const reserveShare = 0.25;
const pool = 'guarded' as PoolId;
const coresPerSlot = 8;
const firstOffset = 0 as Offset;
const waveId = 'wave' as WaveId;

type EffectTarget = Pick<WaveTrial, 'platform' | 'jobs' | 'pendingEvents' | 'violations' | 'moves'>;

/** Handlers of the effects that matter to a wave; others are dropped. Snapshot writes are never confirmed, so that no second snapshot is encoded. */
const effectHandlers: {readonly [Type in EffectType]?: (trial: EffectTarget, effect: EffectOf<Type>) => void} = {
	'log/append'(trial, {records}) {
		trial.platform.append(records);
		trial.pendingEvents.push({type: 'log/appended', at: trial.platform.now as Instant, recordIds: records.map(record => record.recordId)});
		trial.moves += records.filter(record => record.schema === 'move-lend').length;
	},
	'log/schedule-flush'({platform, pendingEvents}) {
		pendingEvents.push({type: 'log/flush-due', at: platform.now as Instant});
	},
	'snapshot/read'({platform, pendingEvents}) {
		pendingEvents.push({
			type: 'snapshot/read', at: platform.now as Instant, records: [], firstOffset, nextOffset: firstOffset,
		});
	},
	'operation/start'({platform, pendingEvents}, effect) {
		pendingEvents.push({
			type: 'operation/reported', at: platform.now as Instant, operationId: effect.operationId, state: platform.start(effect),
		});
	},
	'operation/read'({platform, pendingEvents}, effect) {
		pendingEvents.push({
			type: 'operation/reported', at: platform.now as Instant, operationId: effect.operationId, state: platform.read(effect),
		});
	},
	'tasks/list'({platform, pendingEvents}) {
		pendingEvents.push({type: 'tasks/listed', at: platform.now as Instant, tasks: platform.tasks.list(platform.now)});
	},
	'task/start'({platform, jobs, pendingEvents}, effect) {
		const answer = platform.startTask(effect, jobs.getRunMs(effect.jobId)) ? 'started' : 'refused';
		pendingEvents.push({
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
	/** Answers of the platform, which are delivered in the next step. */
	readonly pendingEvents: Event[] = [];
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
		this.platform.append([...this.listRecords(), ...this.jobs.createInitial()]);
		this.reduce({type: 'hosts/listed', at: this.platform.now as Instant, hosts: this.listHosts()});
	}

	/** Runs the load, then the wave until it is done or the time limit is reached. */
	run(): TrialResult {
		while (this.platform.now < waveStartMs) {
			this.runStep();
		}

		this.platform.append([this.createWave()]);
		const expectedTimes = new Map(this.workers.map(worker => [worker, this.measureOutTime(worker)]));
		return this.runWave(expectedTimes);
	}

	/** How long a worker would be out if it were drained now. */
	private measureOutTime(worker: FakeWorker): number {
		return this.platform.tasks.measureDrain(worker.hostId, jobId => !this.jobs.isResumable(jobId)) + worker.rebootMs;
	}

	private runWave(expectedTimes: OutOfServiceTimes): TrialResult {
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
			leastMs: computeMinimumTime(expectedTimes, budget, waveStartMs),
			leastAsRunMs: computeMinimumTime(this.outTimes, budget, waveStartMs),
			leastWithoutDrainsMs: computeMinimumTime(rebootTimes, budget, waveStartMs),
			knownMs: computeKnownScheduleTime(this.outTimes, budget),
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

		for (const event of this.pendingEvents.splice(0)) {
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
		const run = effectHandlers[effect.type] as ((trial: EffectTarget, effect: Effect) => void) | undefined;
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
