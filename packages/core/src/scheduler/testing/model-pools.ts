/** A model of pools that share machines: one leader, sound workers, and machines that are down while they move. */
import type {Instant} from '../../types/time.js';
import type {SchedulerEffect} from '../effects.js';
import type {SchedulerEvent} from '../events.js';
import {isFinal} from '../phases.js';
import {reduceScheduler} from '../reduce.js';
import {createSchedulerState, type SchedulerState} from '../state.js';
import type {FleetConfig, MachineEntry, PoolName} from '../types.js';
import {modelConfig} from './model-jobs.js';
import {modelSettings} from './model-settings.js';
import {ModelWorker} from './model-worker.js';
import {PoolLoad, type LoadedJob} from './pool-load.js';
import {
	createResult, latencyTargetMs, noteJobResult, stretch, sumPoolResults, type PoolResult,
} from './pool-results.js';

const stepMs = 5;
const tickMs = 25;
const storeMs = 20;
const answerMs = 5;
const platformMs = 30;
const firstAt = 1000;
const capacity = {cpu: 16_000, memoryMb: 64_000, gpu: 0};
const spareName = 'spare';

type EventBody = SchedulerEvent extends infer Event ? (Event extends SchedulerEvent ? Omit<Event, 'at' | 'wallAt'> : never) : never;
type EffectOf<Type extends SchedulerEffect['type']> = Extract<SchedulerEffect, {type: Type}>;
type PollEffect = EffectOf<'worker/poll'>;
type ModelMachine = {entry: MachineEntry; returnsAt: number | undefined};

export type ModelPoolsOptions = {
	readonly seed: number;
	readonly pools: readonly PoolName[];
	readonly machines: number;
	/** Machines that each pool has at first; the others are spare. */
	readonly present: number;
};

function createConfig({pools}: ModelPoolsOptions): FleetConfig {
	const queue = modelConfig.queues[0]!;
	const pool = modelConfig.pools[0]!;
	return {
		...modelConfig,
		queues: pools.map((name: string) => ({
			...queue, name, pool: name, stretch, latencyTargetMs, pathPrefix: `/${name}/`,
		})),
		pools: [...pools.map(name => ({...pool, name})), {...pool, name: spareName, isSpare: true}],
	};
}

export class ModelPools {
	static create(options: ModelPoolsOptions): ModelPools {
		return new ModelPools(options);
	}

	readonly state: SchedulerState = createSchedulerState(modelSettings);
	readonly results = new Map<PoolName, PoolResult>();
	readonly moves: Array<{readonly at: number; readonly machineId: string; readonly from: PoolName; readonly to: PoolName}> = [];
	now = firstAt;
	private readonly machines = new Map<string, ModelMachine>();
	private readonly workers = new Map<string, ModelWorker>();
	private readonly loads: ReadonlyMap<PoolName, PoolLoad>;
	private readonly jobs = new Map<string, {readonly loaded: LoadedJob; readonly arrivedAt: number}>();
	private readonly waitingPolls = new Map<string, Array<() => void>>();
	private readonly due = new Map<number, Array<() => void>>();
	private nextTickAt = firstAt;

	private constructor(options: ModelPoolsOptions) {
		this.loads = new Map(options.pools.map((pool, index) => [pool, PoolLoad.create((options.seed * 100) + index, {pool})]));
		for (const pool of options.pools) {
			this.results.set(pool, createResult());
		}

		for (let index = 0; index < options.machines; index++) {
			const pool = options.pools[Math.floor(index / Math.max(1, options.present))] ?? spareName;
			const entry: MachineEntry = {
				id: `m-${index}`, pool: options.present > 0 ? pool : spareName, state: 'up', availabilityZone: 'a', labels: [], capacity, workerId: undefined,
			};
			this.machines.set(entry.id, {entry, returnsAt: undefined});
			this.startWorker(entry.id);
		}

		this.push({type: 'config/read', config: createConfig(options)});
		this.state.leadership.hasLoadedLedger = true;
		this.state.leadership.role = 'claiming';
		this.state.leadership.claim = {token: 1, sentAt: this.now};
		this.push({type: 'claim/ended', outcome: 'granted', claimedAt: 0});
		this.listWorkers();
	}

	/** Lets jobs arrive at each pool at its rate, in jobs a second, for some time. */
	run(rates: Readonly<Record<PoolName, number>>, forMs: number): void {
		for (const end = this.now + forMs; this.now < end;) {
			this.now += stepMs;
			this.addArrivals(rates);
			this.endRuns();
			this.returnMachines();
			for (const run of this.due.get(this.now) ?? []) {
				run();
			}

			this.due.delete(this.now);

			if (this.now >= this.nextTickAt) {
				this.nextTickAt = this.now + tickMs;
				this.push({type: 'clock/ticked'});
				this.noteResults();
			}
		}
	}

	/** Sums of the results of all pools, or of one. */
	sumResults(only?: PoolName): PoolResult {
		return sumPoolResults(this.results, only);
	}

	/** Machines that are in a pool or move to it. */
	countMachines(pool: PoolName): number {
		return [...this.machines.values()].filter(({entry}) => entry.pool === pool).length;
	}

	/** Those that run nothing. */
	countIdleMachines(pool: PoolName): number {
		return this.countMachines(pool) - [...this.workers.values()].filter(({entry, runs}) => entry.pool === pool && runs.size > 0).length;
	}

	private addArrivals(rates: Readonly<Record<PoolName, number>>): void {
		for (const [pool, load] of this.loads) {
			for (const loaded of load.drawArrivals(rates[pool] ?? 0, stepMs)) {
				this.jobs.set(loaded.definition.jobId, {loaded, arrivedAt: this.now});
				this.push({type: 'intake/read', records: [{type: 'job', job: loaded.definition}]});
			}
		}
	}

	private noteResults(): void {
		for (const {entry} of this.machines.values()) {
			const result = this.results.get(entry.pool) ?? createResult();
			result.machineMs += tickMs;
		}

		for (const [id, {loaded, arrivedAt}] of this.jobs) {
			const job = this.state.jobs.get(loaded.definition.jobId);
			if (job && isFinal(job.phase)) {
				this.jobs.delete(id);
				noteJobResult(this.results.get(job.definition.pool)!, loaded, this.now - arrivedAt);
			}
		}
	}

	private startWorker(machineId: string): void {
		const machine = this.machines.get(machineId)!;
		if (machine.entry.pool === spareName) {
			return;
		}

		const id = `w-${machineId}-${this.now}`;
		machine.entry = {...machine.entry, workerId: id};
		this.workers.set(id, ModelWorker.create({
			id, bornAt: 1, address: id, pool: machine.entry.pool, availabilityZone: 'a', capacity, labels: ['a', 'r-1'], isDraining: false, remainingMs: undefined, machineId,
		}));
	}

	private listWorkers(): void {
		this.push({type: 'workers/listed', workers: [...this.workers.values()].map(worker => worker.createEntry()), isReloaded: false});
	}

	private returnMachines(): void {
		const returned = [...this.machines.values()].filter(({returnsAt}) => returnsAt !== undefined && returnsAt <= this.now);
		for (const machine of returned) {
			machine.returnsAt = undefined;
			machine.entry = {...machine.entry, state: 'up'};
			this.startWorker(machine.entry.id);
		}

		if (returned.length > 0) {
			this.listWorkers();
		}
	}

	private endRuns(): void {
		for (const [id, worker] of this.workers) {
			if (worker.advance(this.now).length > 0) {
				this.answerWaitingPolls(id);
			}
		}
	}

	private answerWaitingPolls(workerId: string): void {
		const waiting = this.waitingPolls.get(workerId) ?? [];
		this.waitingPolls.delete(workerId);
		for (const answer of waiting) {
			answer();
		}
	}

	private schedule(afterMs: number, run: () => void): void {
		const at = this.now + (Math.ceil(afterMs / stepMs) * stepMs);
		this.due.set(at, [...this.due.get(at) ?? [], run]);
	}

	private push(body: EventBody): void {
		const event: SchedulerEvent = {...body, at: this.now, wallAt: (1_800_000_000_000 + this.now) as Instant};
		for (const effect of reduceScheduler(this.state, event)) {
			(this.handlers[effect.type] as ((effect: SchedulerEffect) => void) | undefined)?.(effect);
		}
	}

	private readonly handlers: {readonly [Type in SchedulerEffect['type']]?: (effect: EffectOf<Type>) => void} = {
		'ledger/commit': ({sequence}) => {
			this.schedule(storeMs, () => {
				this.push({type: 'commit/ended', outcome: 'stored', sequence});
			});
		},
		'worker/start': effect => {
			this.schedule(answerMs, () => {
				this.startRun(effect);
			});
		},
		'worker/poll': effect => {
			this.schedule(answerMs, () => {
				this.answerPoll(effect);
			});
		},
		'machines/list': () => {
			const requestedAt = this.now;
			const machines = [...this.machines.values()].map(({entry}) => entry);
			this.schedule(platformMs, () => {
				this.push({
					type: 'machines/listed', listing: {type: 'listed', machines, pages: 1}, requestedAt, tookMs: platformMs,
				});
			});
		},
		'machine/move': ({order, machineId, pool}) => {
			this.schedule(platformMs, () => {
				const machine = this.machines.get(machineId)!;
				this.moves.push({
					at: this.now, machineId, from: machine.entry.pool, to: pool,
				});
				this.workers.delete(machine.entry.workerId ?? '');
				machine.entry = {
					...machine.entry, pool, state: 'moving', workerId: undefined,
				};
				machine.returnsAt = this.now + modelSettings.moveMs;
				this.push({
					type: 'order/ended', order, machineId, outcome: 'done',
				});
				this.listWorkers();
			});
		},
		log({event, fields}) {
			if (event === 'handler-failed') {
				throw new Error(`handler failed: ${String(fields.reason)}`);
			}
		},
	};

	private startRun({worker: {id, bornAt}, task, run, token, untilMs}: EffectOf<'worker/start'>): void {
		const [jobId, , step, index] = task.split('.');
		const loaded = this.jobs.get(jobId!)?.loaded;
		const worker = this.workers.get(id);
		const outcome = worker && loaded ? worker.start({
			run: {
				task, run, need: loaded.definition.steps[Number(step)]!.need, startedAt: this.now, endsAt: this.now + loaded.runMs[Number(step)]![Number(index)]!, end: 'done',
			}, untilMs, token,
		}, this.now) : 'not-sent';
		this.push({
			type: 'start/ended', workerId: id, bornAt, task, run, outcome, clockMs: this.now,
		});
	}

	private answerPoll({worker: {id, bornAt}, token, untilMs, lastAckedEnd, waitMs, isExtra}: PollEffect): void {
		const sentAt = this.now - answerMs;
		const read = () => this.workers.get(id)?.poll({untilMs, token, ackedEnd: lastAckedEnd}, this.now);
		let isAnswered = false;
		const answer = () => {
			if (isAnswered) {
				return;
			}

			isAnswered = true;
			const rows = read();
			const base = {
				type: 'poll/ended' as const, workerId: id, bornAt, sentAt, isExtra, running: [], ended: [], clockMs: undefined, answerBornAt: undefined,
			};
			this.push(rows ? {
				...base, ...rows, outcome: 'held', clockMs: this.now, answerBornAt: bornAt,
			} : {...base, outcome: 'unknown'});
		};

		if (waitMs === 0 || (read()?.ended.length ?? 1) > 0) {
			answer();
			return;
		}

		this.waitingPolls.set(id, [...this.waitingPolls.get(id) ?? [], answer]);
		this.schedule(waitMs, answer);
	}
}
