/** For tests: the scheduler of one host, driven event by event. The test itself acts as the store, the workers and the clock. */
import type {Instant} from '../../types/time.js';
import {reduceScheduler} from '../reduce.js';
import {noResources} from '../resources.js';
import {createSchedulerState, type SchedulerSettings, type SchedulerState} from '../state.js';
import {commitPauseMs} from '../timing.js';
import type {SchedulerEffect} from '../effects.js';
import type {
	PollOutcome, LedgerEntry, SchedulerEvent, StartOutcome,
} from '../events.js';
import type {
	EndedRow, FleetConfig, JobDefinition, JobProgress, LeaseRecord, ProgressRow, Queue, RunningRow, WorkerEntry,
} from '../types.js';
import {modelSettings} from './model-settings.js';
import {modelConfig, poolName} from './model-fleet.js';

const wallStart = 1_800_000_000_000;
const tickStepMs = 25;
const silenceMs = 1000;

/** An event without its timestamps. */
export type EventBody = SchedulerEvent extends infer Event ? (Event extends SchedulerEvent ? Omit<Event, 'at' | 'wallAt'> : never) : never;

export type EffectOf<Type extends SchedulerEffect['type']> = Extract<SchedulerEffect, {type: Type}>;

/** The model's configuration with other values for its queue. */
export function createConfig(changes: Partial<Queue> = {}, version = 1): FleetConfig {
	return {...modelConfig, version, queues: [{...modelConfig.queues[0]!, ...changes}]};
}

/** The model's configuration with accounts of these weights, without quotas. */
export function createAccountConfig(weights: Readonly<Record<string, number>>, version = 1): FleetConfig {
	return {
		...createConfig({}, version), accounts: Object.entries(weights).map(([name, weight]) => ({
			name, weight, quota: noResources, keyDigests: [],
		})),
	};
}

/** A worker of the model's pool with plenty of capacity. */
export function createWorker(id: string, changes: Partial<WorkerEntry> = {}): WorkerEntry {
	return {
		id, bornAt: 1, address: '10.0.0.1:80', pool: poolName, availabilityZone: 'a', capacity: {cpu: 64_000, memoryMb: 256_000, gpu: 0}, labels: ['a', 'r1'], isDraining: false, remainingMs: undefined, machineId: `m-${id}`, ...changes,
	};
}

/** The stored row of the first task of a job; `changes` replaces single fields. */
export function createRow(changes: Partial<ProgressRow> = {}): ProgressRow {
	return {
		occurrence: 0, step: 0, index: 0, status: 'placed', run: 1, failures: 0, workerId: 'w1', workerBornAt: 1, checkpoint: '', ...changes,
	};
}

/** The lease record of a leader whose workers all hold the leases that it requested, and have answered all starts. */
export function createLease(holder: string, token: number, isReleased = false): LeaseRecord {
	return {
		holder, token, isReleased, openLeases: {workers: [], unconfirmedTasks: []},
	};
}

/** A ledger entry with the progress of a job that is running unless `phase` says otherwise. */
export function createProgress(offset: number, {jobId}: JobDefinition, rows: readonly ProgressRow[], phase: JobProgress['phase'] = 'running'): LedgerEntry {
	return {
		offset, record: {
			type: 'progress', jobId, progress: {
				phase, finishedOccurrences: [], rows, finishedAt: 0 as Instant,
			},
		},
	};
}

type PollAnswerChanges = {
	readonly running?: readonly RunningRow[]; readonly ended?: readonly EndedRow[]; readonly sentAt?: number; readonly clockMs?: number;
	readonly bornAt?: number; readonly answerBornAt?: number | undefined; readonly token?: number; readonly outcome?: PollOutcome; readonly isExtra?: boolean;
};

export class HandDrivenHost {
	static create(settings: Partial<SchedulerSettings> = {}): HandDrivenHost {
		return new HandDrivenHost(createSchedulerState({...modelSettings, ...settings}));
	}

	now = 0;
	/** Error of the host's wall clock. */
	clockErrorMs = 0;
	/** All effects so far. */
	readonly effects: SchedulerEffect[] = [];
	/** Whether appends are confirmed at once; otherwise the test answers them. */
	isConfirmingAppends = true;

	private constructor(readonly state: SchedulerState) {}

	get token(): number {
		return this.state.leadership.token;
	}

	/** Applies an event now, and the confirmations of its appends; returns all resulting effects. */
	dispatch(body: EventBody): SchedulerEffect[] {
		const event = {...body, at: this.now, wallAt: (wallStart + this.now + this.clockErrorMs) as Instant};
		const effects = [...reduceScheduler(this.state, event)];
		this.effects.push(...effects);
		for (const effect of effects) {
			if (effect.type === 'ledger/commit' && this.isConfirmingAppends) {
				effects.push(...this.store(effect));
			}
		}

		return effects;
	}

	/** Confirms an append. */
	store({sequence, token}: EffectOf<'ledger/commit'>): SchedulerEffect[] {
		return this.dispatch({
			type: 'commit/ended', outcome: 'stored', sequence, token,
		});
	}

	/** Advances the time, with a clock event every 25 ms. */
	tick(forMs = tickStepMs): SchedulerEffect[] {
		const end = this.now + forMs;
		const effects: SchedulerEffect[] = [];
		while (this.now < end) {
			this.now += tickStepMs;
			effects.push(...this.dispatch({type: 'clock/ticked'}));
		}

		return effects;
	}

	/** Reads the whole ledger, and after it a lease record of the former leader, if given; waits until the host claims the leadership because the ledger was silent, and grants the claim. */
	takeLeadership(entries: readonly LedgerEntry[] = [], config = createConfig(), lease?: LeaseRecord): SchedulerEffect[] {
		const nextOffset = (entries.at(-1)?.offset ?? -1) + 1;
		this.dispatch({type: 'config/read', config});
		this.dispatch({type: 'ledger/loaded', entries, nextOffset});
		if (lease) {
			this.dispatch({type: 'ledger/read', entries: [{offset: nextOffset, record: {type: 'lease', lease}}], nextOffset: nextOffset + 1});
		}

		const claim = [...this.dispatch({type: 'clock/ticked'}), ...this.tick(silenceMs)].find(effect => effect.type === 'ledger/claim');
		return this.dispatch({type: 'claim/ended', outcome: 'granted', claimedAt: claim!.at});
	}

	/** Registers workers, answers the first poll of each, and advances the time until changes may be stored again. */
	addWorkers(...ids: readonly string[]): void {
		this.dispatch({type: 'workers/listed', workers: ids.map(id => createWorker(id)), isReloaded: true});
		this.now++;
		for (const id of ids) {
			this.answerPoll(id);
		}

		this.now += commitPauseMs;
	}

	submit(job: JobDefinition): SchedulerEffect[] {
		return this.dispatch({type: 'intake/read', records: [{type: 'job', job}]});
	}

	/** Answers a poll that, unless `changes` says otherwise, was sent just before. */
	answerPoll(workerId: string, changes: PollAnswerChanges = {}): SchedulerEffect[] {
		return this.dispatch({
			type: 'poll/ended', workerId, bornAt: 1, outcome: 'held', sentAt: this.now - 1, isExtra: false, clockMs: this.now, answerBornAt: changes.bornAt ?? 1, running: [], ended: [], token: this.token, ...changes,
		});
	}

	answerStart({worker, task, run, token}: EffectOf<'worker/start'>, outcome: StartOutcome = 'started'): SchedulerEffect[] {
		return this.dispatch({
			type: 'start/ended', workerId: worker.id, bornAt: worker.bornAt, task, run, outcome, clockMs: this.now, token,
		});
	}
}

/** The starts among effects. */
export function listStarts(effects: readonly SchedulerEffect[]): Array<EffectOf<'worker/start'>> {
	return effects.filter(effect => effect.type === 'worker/start');
}

/** The event names of the log lines among effects. */
export function listLogEvents(effects: readonly SchedulerEffect[]): string[] {
	return effects.filter(effect => effect.type === 'log').map(({event}) => event);
}
