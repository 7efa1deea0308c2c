/** One leader for tests about machines: the store and the workers answer immediately, the test answers for the platform. */
import type {Instant} from '../../types/time.js';
import type {LogFields, SchedulerEffect} from '../effects.js';
import type {MachineListing, OrderOutcome, SchedulerEvent} from '../events.js';
import {reduceScheduler} from '../reduce.js';
import {createSchedulerState, type SchedulerSettings, type SchedulerState} from '../state.js';
import type {
	FleetConfig, LedgerRecord, MachineEntry, RunningRow, WaveDefinition, WorkerEntry,
} from '../types.js';
import {modelConfig, poolName} from './model-fleet.js';
import {modelSettings} from './model-settings.js';

const stepMs = 5;
const tickMs = 25;
const answerMs = 5;
const wallStart = 1_800_000_000_000;
const firstAt = 1000;

export const sparePoolName = 'spare';

const config: FleetConfig = {
	...modelConfig, pools: [...modelConfig.pools, {
		name: sparePoolName, isSpare: true, maxConnections: 1, healthPath: '/', hasAdmissionCheck: true,
	}],
};

const capacity = {cpu: 8000, memoryMb: 100_000, gpu: 0};

/** A machine that is up in the model's pool; `changes` replaces single fields. */
export function createMachineEntry(id: string, changes: Partial<MachineEntry> = {}): MachineEntry {
	return {
		id, pool: poolName, state: 'up', availabilityZone: 'a', labels: [], capacity, workerId: undefined, ...changes,
	};
}

/** A worker on a machine. */
export function createWorkerEntry(id: string, machineId: string): WorkerEntry {
	return {
		id, bornAt: 1, address: id, pool: poolName, availabilityZone: 'a', capacity, labels: ['a', 'r-1'], isDraining: false, remainingMs: undefined, machineId,
	};
}

export type MachineOrderEffect = Extract<SchedulerEffect, {type: 'machine/move' | 'machine/upkeep'}>;
type EventBody = SchedulerEvent extends infer Event ? (Event extends SchedulerEvent ? Omit<Event, 'at' | 'wallAt'> : never) : never;
type ScheduledEvent = {readonly at: number; readonly body: EventBody};

export class ModelLeader {
	/** Creates a host that leads from `now` on. */
	static create(settings: Partial<SchedulerSettings> = {}): ModelLeader {
		return new ModelLeader(createSchedulerState({...modelSettings, ...settings}));
	}

	/** Orders sent to the platform. */
	readonly orders: MachineOrderEffect[] = [];
	/** Records appended to the ledger. */
	readonly records: LedgerRecord[] = [];
	/** Stops sent to workers. */
	readonly stops: Array<Extract<SchedulerEffect, {type: 'worker/stop'}>> = [];
	/** Wave reports sent to the platform. */
	readonly reports: Array<Extract<SchedulerEffect, {type: 'wave/report'}>> = [];
	readonly logs: Array<{readonly event: string; readonly fields: LogFields}> = [];
	/** Runs at each worker. */
	readonly running = new Map<string, RunningRow[]>();
	/** Number of polls that each worker has answered. */
	readonly answeredPolls = new Map<string, number>();
	readonly unreachableWorkers = new Set<string>();
	/** How long workers take to answer a poll, if longer than usual. */
	readonly pollDelaysMs = new Map<string, number>();
	/** Starts are carried out, but their answers are lost. */
	areStartAnswersLost = false;
	/** Starts are neither carried out nor answered. */
	areStartsLost = false;
	isStoreUnresponsive = false;
	/** The stream of jobs is out of reach, though the ledger may answer. */
	isIntakeAway = false;
	/** How long the store takes to confirm an append. */
	commitDelayMs = answerMs;
	/** Runs continue even though the workers confirm their stops. */
	isStopIgnored = false;
	now = firstAt;
	/** How far the wall clock is ahead of the monotonic clock's start. */
	private wallOffset = wallStart;
	private scheduledEvents: ScheduledEvent[] = [];
	private nextTickAt = firstAt;

	private constructor(readonly state: SchedulerState) {
		this.push({type: 'config/read', config});
		this.takeLeadership(0);
	}

	/** Grants the leadership to the host, also again after it was lost. */
	takeLeadership(claimedAt: number): void {
		this.state.leadership.hasLoadedLedger = true;
		this.state.leadership.role = 'claiming';
		// The fencing token is the offset of the claim + 1.
		this.state.leadership.claim = {token: claimedAt + 1, sentAt: this.now};
		this.push({type: 'claim/ended', outcome: 'granted', claimedAt});
	}

	push(body: EventBody): void {
		for (const effect of reduceScheduler(this.state, createEvent(body, this.now, this.wallOffset))) {
			this.handleEffect(effect);
		}
	}

	run(forMs: number): void {
		const end = this.now + forMs;
		while (this.now < end) {
			this.now += stepMs;
			const due = this.scheduledEvents.filter(({at}) => at <= this.now);
			this.scheduledEvents = this.scheduledEvents.filter(({at}) => at > this.now);
			for (const {body} of due) {
				this.push(body);
			}

			if (this.now >= this.nextTickAt) {
				this.nextTickAt = this.now + tickMs;
				this.readIntake();
				this.push({type: 'clock/ticked'});
			}
		}
	}

	/** Pauses the process: what arrives meanwhile is handled when it goes on. */
	freeze(forMs: number): void {
		this.now += forMs;
	}

	/** Suspends the whole host: as `freeze`, but its monotonic clock does not count the time. */
	suspend(forMs: number): void {
		this.wallOffset += forMs;
	}

	/** Delivers a list of machines that was requested at `requestedAt`. */
	listMachines(machines: readonly MachineEntry[], requestedAt = this.now, tookMs = 5): void {
		const listing: MachineListing = {type: 'listed', machines, pages: 1};
		this.push({
			type: 'machines/listed', listing, requestedAt, tookMs,
		});
	}

	listWorkers(...workers: readonly WorkerEntry[]): void {
		this.push({type: 'workers/listed', workers, isReloaded: false});
	}

	publishWave(changes: Partial<WaveDefinition>): void {
		this.push({
			type: 'wave/published', isCompleted: false, definition: {
				wave: 7, machineIds: [], deadlineS: 20, maxDown: 1, ...changes,
			},
		});
	}

	/** The machines of all orders so far, in their sequence. */
	listOrderedMachines(): string[] {
		return this.orders.map(({machineId}) => machineId);
	}

	endOrder(order: MachineOrderEffect | undefined, outcome: OrderOutcome): void {
		if (!order) {
			throw new Error('the expected order was not sent');
		}

		this.push({
			type: 'order/ended', order: order.order, machineId: order.machineId, outcome,
		});
	}

	findLogs(name: string): LogFields[] {
		return this.logs.filter(({event}) => event === name).map(({fields}) => fields);
	}

	/** Reads the stream of jobs to its end; no other host adds any. */
	private readIntake(): void {
		if (!this.isIntakeAway && !this.isStoreUnresponsive) {
			this.push({type: 'intake/read', records: [], completeAt: this.now});
		}
	}

	private answer(body: EventBody, afterMs = answerMs): void {
		this.scheduledEvents.push({at: this.now + afterMs, body});
	}

	private handleEffect(effect: SchedulerEffect): void {
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check
		switch (effect.type) {
			case 'ledger/commit': {
				this.records.push(...effect.records);
				this.answer({type: 'commit/ended', outcome: this.isStoreUnresponsive ? 'unknown' : 'stored', sequence: effect.sequence}, this.commitDelayMs);
				break;
			}

			case 'worker/start': {
				const {worker, task, run} = effect;
				const isUnanswered = this.areStartAnswersLost || this.areStartsLost;
				if (!this.areStartsLost) {
					this.running.set(worker.id, [...this.running.get(worker.id) ?? [], {
						task, run, checkpoint: '', percent: 100, reading: 0,
					}]);
				}

				this.answer({
					type: 'start/ended', workerId: worker.id, bornAt: worker.bornAt, task, run, outcome: isUnanswered ? 'unknown' : 'started', clockMs: isUnanswered ? undefined : this.now,
				});
				break;
			}

			case 'worker/stop': {
				const {worker, task, run} = effect;
				this.stops.push(effect);
				this.running.set(worker.id, (this.running.get(worker.id) ?? []).filter(row => this.isStopIgnored || row.task !== task));
				this.answer({
					type: 'stop/ended', workerId: worker.id, bornAt: worker.bornAt, task, run, outcome: 'stopped',
				});
				break;
			}

			case 'worker/poll': {
				this.answerPoll(effect);
				break;
			}

			case 'machine/move':
			case 'machine/upkeep': {
				this.orders.push(effect);
				break;
			}

			case 'wave/report': {
				this.reports.push(effect);
				break;
			}

			case 'log': {
				this.logs.push(effect);
				break;
			}

			default: {
				break;
			}
		}
	}

	private answerPoll({
		worker, isExtra, waitMs, slackMs,
	}: Extract<SchedulerEffect, {type: 'worker/poll'}>): void {
		const delayMs = this.pollDelaysMs.get(worker.id) ?? answerMs;
		const isUnreachable = this.unreachableWorkers.has(worker.id) || delayMs > slackMs;
		this.answeredPolls.set(worker.id, (this.answeredPolls.get(worker.id) ?? 0) + (isUnreachable ? 0 : 1));
		this.answer({
			type: 'poll/ended', workerId: worker.id, bornAt: worker.bornAt, outcome: isUnreachable ? 'unknown' : 'held', sentAt: this.now, isExtra, clockMs: this.now, answerBornAt: worker.bornAt, running: this.running.get(worker.id) ?? [], ended: [],
		}, isUnreachable ? waitMs + slackMs : delayMs);
	}
}

function createEvent(body: EventBody, at: number, wallOffset: number): SchedulerEvent {
	const event = {...body, at, wallAt: (wallOffset + at) as Instant};
	return event;
}
