/** Executes the scheduler's effects and turns their outcomes into events. */
import {
	describeError, type ClaimOutcome, type CommitOutcome, type JobDefinition, type SchedulerEffect, type SchedulerEvent,
} from '@rhubarblever/core/scheduler';
import type {JobId} from '@rhubarblever/core';
import {canStore, measureRecord, splitAppend} from './append-batches.js';
import {readSteadyClock, readWallClock} from './clocks.js';
import {
	encodeIntake, encodeLedger, intakeStream, ledgerStream,
} from './codec.js';
import type {DecisionLog} from './decision-log.js';
import type {SchedulerMetrics} from './metrics.js';
import type {AppendOutcome, NewRecord, SchedulerPorts} from './ports.js';

/** A scheduler event without its timestamps, which are added when it is pushed. */
export type UntimedEvent = SchedulerEvent extends infer Event ? (Event extends SchedulerEvent ? Omit<Event, 'at' | 'wallAt'> : never) : never;

export type EffectRunnerOptions = {
	readonly ports: SchedulerPorts;
	readonly log: DecisionLog;
	readonly metrics: SchedulerMetrics;
	readonly pushEvent: (event: UntimedEvent) => void;
	readonly reloadLedger: () => void;
	readonly expireViews: () => void;
};

/** Producer name under which the store checks the epoch and the sequence number of the leader's appends. */
const writerName = 'leader';

const commitOutcomes: Readonly<Record<AppendOutcome['type'], CommitOutcome>> = {
	appended: 'stored', moved: 'fenced', fenced: 'fenced', refused: 'refused', unknown: 'unknown', 'out-of-sequence': 'fenced',
};

const claimOutcomes: Readonly<Record<AppendOutcome['type'], ClaimOutcome>> = {
	appended: 'granted', moved: 'lost', fenced: 'lost', refused: 'refused', unknown: 'unknown', 'out-of-sequence': 'lost',
};

type EffectHandlers = {[K in SchedulerEffect['type']]: (effect: Extract<SchedulerEffect, {type: K}>) => void};

export class EffectRunner {
	static create(options: EffectRunnerOptions): EffectRunner {
		return new EffectRunner(options);
	}

	private readonly handlers: EffectHandlers = {
		'ledger/claim': effect => {
			void this.claimLeadership(effect);
		},
		'ledger/commit': effect => {
			void this.appendCommit(effect);
		},
		'ledger/reload': () => {
			this.options.reloadLedger();
		},
		'worker/start': effect => {
			void this.startRun(effect);
		},
		'worker/stop': effect => {
			void this.stopRun(effect);
		},
		'worker/poll': effect => {
			void this.pollWorker(effect);
		},
		'worker/pace': effect => {
			void this.setPace(effect);
		},
		'machines/list': () => {
			void this.listMachines();
		},
		'machine/move': effect => {
			void this.order(effect, 'move', async () => this.options.ports.machines.move(effect));
		},
		'machine/upkeep': effect => {
			void this.order(effect, 'upkeep', async () => this.options.ports.machines.startUpkeep(effect));
		},
		'wave/report': effect => {
			void this.reportWave(effect);
		},
		'advice/request': effect => {
			void this.requestAdvice(effect);
		},
		'intake/remove': effect => {
			void this.removeJobs(effect.jobIds as readonly JobId[]);
		},
		'intake/shorten': ({definitions}) => {
			void this.replaceJobs(definitions);
		},
		'intake/remove-refusals': ({holders}) => {
			void this.removeRefusals(holders);
		},
		'views/expire': () => {
			this.options.expireViews();
		},
		'config/restored': ({config}) => {
			this.options.log.note('config-restored', {version: config.version});
		},
		log: ({level, event, fields}) => {
			this.options.metrics.decisions.inc({event});
			this.options.log[level === 'info' ? 'note' : 'warn'](event, fields);
		},
	};

	private constructor(private readonly options: EffectRunnerOptions) {}

	/** Never throws: an exception would end the event loop for good. */
	run(effect: SchedulerEffect): void {
		try {
			(this.handlers[effect.type] as (effect: SchedulerEffect) => void)(effect);
		} catch (error) {
			this.options.metrics.decisions.inc({event: 'effect-failed'});
			this.options.log.warn('effect-failed', {effectType: effect.type, reason: describeError(error)});
		}
	}

	private recordCall(call: string, outcome: string, startedAt: number): void {
		const {metrics} = this.options;
		metrics.outgoingCalls.inc({order: call, outcome});
		metrics.outgoingCallSeconds.observe({order: call}, (readSteadyClock() - startedAt) / 1000);
	}

	private async claimLeadership({at, token, sequence, holder}: Extract<SchedulerEffect, {type: 'ledger/claim'}>): Promise<void> {
		const startedAt = readSteadyClock();
		const record = encodeLedger({type: 'lease', lease: {holder, token, isReleased: false}});
		const outcome = await this.options.ports.store.append(ledgerStream, [record], {at, writer: {name: writerName, epoch: token, sequence}});
		this.recordCall('claim', outcome.type, startedAt);
		this.options.pushEvent({type: 'claim/ended', outcome: claimOutcomes[outcome.type], claimedAt: at});
	}

	/** Stores the records in their order, in as many appends as the store's limits require. An attempt that is repeated begins with the first of them. */
	private async appendCommit({token, sequence, records}: Extract<SchedulerEffect, {type: 'ledger/commit'}>): Promise<void> {
		const encoded = records.map(record => encodeLedger(record)).filter(record => this.canStore(record));
		const batches = splitAppend(encoded, this.options.ports.store.limits);
		let outcome: CommitOutcome = 'stored';
		for (const [index, batch] of batches.entries()) {
			// eslint-disable-next-line no-await-in-loop
			outcome = await this.appendBatch(batch, token, sequence + index);
			if (outcome !== 'stored') {
				break;
			}
		}

		this.options.pushEvent({
			type: 'commit/ended', outcome, sequence, token, appends: batches.length,
		});
	}

	private async appendBatch(batch: readonly NewRecord[], epoch: number, sequence: number): Promise<CommitOutcome> {
		const startedAt = readSteadyClock();
		const outcome = await this.options.ports.store.append(ledgerStream, batch, {writer: {name: writerName, epoch, sequence}});
		this.recordCall('commit', outcome.type, startedAt);
		// The store expects a later sequence number, so an earlier attempt has already stored this append.
		const isStored = outcome.type === 'out-of-sequence' && outcome.expected > sequence;
		return isStored ? 'stored' : commitOutcomes[outcome.type];
	}

	/** A record that the store can never take must not keep the others from being stored. */
	private canStore(record: NewRecord): boolean {
		const {ports: {store: {limits}}, metrics, log} = this.options;
		if (canStore(record, limits)) {
			return true;
		}

		metrics.decisions.inc({event: 'record-too-large'});
		log.warn('record-too-large', {key: record.key, bytes: measureRecord(record), maxRecordBytes: limits.maxRecordBytes});
		return false;
	}

	private async startRun(effect: Extract<SchedulerEffect, {type: 'worker/start'}>): Promise<void> {
		const startedAt = readSteadyClock();
		const {outcome, clockMs} = await this.options.ports.workers.startRun(effect);
		this.recordCall('start', outcome, startedAt);
		// Logged for every outcome of a start, also if the run was not started; `outcome` tells which.
		this.options.log.note('task-started', {
			task: effect.task, run: effect.run, workerId: effect.worker.id, bornAt: effect.worker.bornAt, outcome, clockMs, untilMs: effect.untilMs, tookMs: Math.round(readSteadyClock() - startedAt),
		});
		const {worker, task, run, token} = effect;
		this.options.pushEvent({
			type: 'start/ended', workerId: worker.id, bornAt: worker.bornAt, task, run, outcome, clockMs, token,
		});
	}

	private async stopRun(effect: Extract<SchedulerEffect, {type: 'worker/stop'}>): Promise<void> {
		const startedAt = readSteadyClock();
		const outcome = await this.options.ports.workers.stopRun(effect);
		this.recordCall('stop', outcome, startedAt);
		const {worker, task, run, token} = effect;
		// Logged for every outcome of a stop, also if the run may not have stopped; `outcome` tells which.
		this.options.log.note('task-stopped', {
			task, run, workerId: worker.id, bornAt: worker.bornAt, outcome, tookMs: Math.round(readSteadyClock() - startedAt),
		});
		this.options.pushEvent({
			type: 'stop/ended', workerId: worker.id, bornAt: worker.bornAt, task, run, outcome, token,
		});
	}

	private async pollWorker(effect: Extract<SchedulerEffect, {type: 'worker/poll'}>): Promise<void> {
		const sentAt = readSteadyClock();
		const answer = await this.options.ports.workers.poll(effect);
		this.recordCall('hold', answer.outcome, sentAt);
		const {worker} = effect;
		if (answer.outcome !== 'held' || answer.bornAt !== worker.bornAt) {
			// It may have renewed the lease of another process than the one it was meant for.
			this.options.log.note('poll-not-held', {
				workerId: worker.id,
				bornAt: worker.bornAt,
				answerBornAt: answer.bornAt,
				outcome: answer.outcome,
				clockMs: answer.clockMs,
				untilMs: effect.untilMs,
				isExtra: effect.isExtra,
				tookMs: Math.round(readSteadyClock() - sentAt),
			});
		}

		if (answer.fault !== undefined) {
			this.options.log.warn('poll-unreadable', {workerId: worker.id, fault: answer.fault});
		}

		this.options.pushEvent({
			type: 'poll/ended', workerId: worker.id, bornAt: worker.bornAt, outcome: answer.outcome, sentAt, isExtra: effect.isExtra, clockMs: answer.clockMs, answerBornAt: answer.bornAt, running: answer.running, ended: answer.ended, token: effect.token,
		});
	}

	private async setPace(effect: Extract<SchedulerEffect, {type: 'worker/pace'}>): Promise<void> {
		const startedAt = readSteadyClock();
		const isDone = await this.options.ports.workers.setPace(effect);
		this.recordCall('pace', isDone ? 'done' : 'failed', startedAt);
		this.options.pushEvent({
			type: 'pace/ended', workerId: effect.worker.id, task: effect.task, run: effect.run, isDone, token: effect.token,
		});
	}

	private async listMachines(): Promise<void> {
		const askedAt = readSteadyClock();
		const listing = await this.options.ports.machines.list();
		this.recordCall('list-machines', listing.type === 'listed' ? 'done' : 'failed', askedAt);
		this.options.pushEvent({
			type: 'machines/listed', listing, requestedAt: askedAt, tookMs: readSteadyClock() - askedAt,
		});
	}

	private async order({order, machineId, token}: Extract<SchedulerEffect, {type: 'machine/move' | 'machine/upkeep'}>, name: string, send: () => Promise<Extract<SchedulerEvent, {type: 'order/ended'}>['outcome']>): Promise<void> {
		const startedAt = readSteadyClock();
		const outcome = await send();
		this.recordCall(name, outcome, startedAt);
		this.options.pushEvent({
			type: 'order/ended', order, machineId, outcome, token,
		});
	}

	private async reportWave({wave, isCompleted}: Extract<SchedulerEffect, {type: 'wave/report'}>): Promise<void> {
		const {codec, store} = this.options.ports;
		const outcome = await store.append(codec.statusStream, [codec.encodeWaveStatus(wave, isCompleted)]);
		this.options.log.note('wave-reported', {wave, isCompleted, outcome: outcome.type});
		this.options.pushEvent({
			type: 'wave/reported', wave, isStored: outcome.type === 'appended', isCompleted,
		});
	}

	private async requestAdvice(effect: Extract<SchedulerEffect, {type: 'advice/request'}>): Promise<void> {
		const startedAt = readSteadyClock();
		const answer = await this.options.ports.advisor.requestAdvice(effect);
		this.recordCall('advice', answer ? 'done' : 'failed', startedAt);
		this.options.pushEvent({
			type: 'advice/ended', step: effect.step, workerIds: effect.workerIds, validMs: answer?.validMs ?? 0, tickets: answer?.tickets, token: effect.token,
		});
	}

	private async removeJobs(jobIds: readonly JobId[]): Promise<void> {
		const records = jobIds.flatMap(jobId => [encodeIntake({type: 'job-removed', jobId}), encodeIntake({type: 'cancel-removed', jobId})]);
		const outcome = await this.appendIntake(records);
		if (outcome !== 'appended') {
			this.options.log.warn('jobs-not-removed', {jobs: jobIds.length, outcome, at: readWallClock()});
		}
	}

	/** Appends records to the intake, in as many appends as the store's limits require; ends with the first that is not stored. */
	private async appendIntake(records: readonly NewRecord[]): Promise<AppendOutcome['type']> {
		const {store} = this.options.ports;
		for (const batch of splitAppend(records, store.limits)) {
			// eslint-disable-next-line no-await-in-loop
			const {type} = await store.append(intakeStream, batch);
			if (type !== 'appended') {
				return type;
			}
		}

		return 'appended';
	}

	/** Records that are not removed now are asked for again. */
	private async removeRefusals(holders: readonly string[]): Promise<void> {
		const outcome = await this.appendIntake(holders.map(holder => encodeIntake({type: 'refusals-removed', holder})));
		this.options.log.note('refusals-removed', {records: holders.length, outcome});
	}

	/** A job that is not shortened now is asked for again. */
	private async replaceJobs(definitions: readonly JobDefinition[]): Promise<void> {
		const outcome = await this.appendIntake(definitions.map(job => encodeIntake({type: 'job', job})));
		this.options.log.note('jobs-shortened', {jobs: definitions.length, outcome});
	}
}
