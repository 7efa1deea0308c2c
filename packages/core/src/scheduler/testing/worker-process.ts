/** For tests: what one process of a worker does with the calls that reach it, as PROTOCOL.md says: fence, runs, ends, and one lease for all that runs there. */
import {computeWorkerToken} from '../incarnations.js';
import type {SchedulerEffect} from '../effects.js';
import type {PollOutcome, StartOutcome, StopOutcome} from '../events.js';
import type {EndedRow, RunningRow} from '../types.js';
import type {EffectOf, EventBody} from './hand-driven.js';
import {modelSettings} from './model-settings.js';

export type WorkerCall = EffectOf<'worker/start'> | EffectOf<'worker/stop'> | EffectOf<'worker/poll'>;

export type ProcessRun = {readonly task: string; readonly run: number; readonly beganAt: number; endsAt: number; how: 'done' | 'stopped'};

export type ProcessOptions = {
	/** Share of the time that passes on the process's clock. */
	readonly clockRate: number;
	getRunMs(task: string): number;
	/** How long a stop takes. */
	drawStopMs(run: ProcessRun): number;
	noteBegun(process: WorkerProcess, run: ProcessRun): void;
	noteEnded(process: WorkerProcess, run: ProcessRun, how: EndedRow['how']): void;
	/** A run that ended as done was acknowledged while the lease lasted. */
	noteAcknowledged?(task: string): void;
};

const percentAll = 100;

export function isWorkerCall(effect: SchedulerEffect): effect is WorkerCall {
	return effect.type === 'worker/start' || effect.type === 'worker/stop' || effect.type === 'worker/poll';
}

export class WorkerProcess {
	static create(workerId: string, bornAt: number, options: ProcessOptions): WorkerProcess {
		return new WorkerProcess(workerId, bornAt, options);
	}

	readonly runs = new Map<string, ProcessRun>();
	private ended: EndedRow[] = [];
	private fence = 0;
	private cursor = 0;
	private nextEnd = 1;
	/** On the process's clock. */
	private leaseUntilMs = 0;
	/** Run ends up to this number were listed before the lease expired: acknowledging them later stands for nothing. */
	private expiredUpTo = 0;
	private readonly highest = new Map<string, number>();

	private constructor(readonly workerId: string, readonly bornAt: number, private readonly options: ProcessOptions) {}

	/** When the lease ends, unless it is extended. */
	get leaseEnd(): number {
		return this.bornAt + Math.ceil(this.leaseUntilMs / this.options.clockRate);
	}

	readClock(now: number): number {
		return Math.floor((now - this.bornAt) * this.options.clockRate);
	}

	/** Carries out a call, unless it has seen a higher fencing token. Returns its answer; that of a poll tells no lists yet. */
	applyCall(call: WorkerCall, now: number, sentAt = 0): EventBody {
		const token = computeWorkerToken(call.token, call.worker);
		if (token < this.fence) {
			return createAnswer(call, sentAt, 'fenced');
		}

		this.fence = token;
		if (call.type === 'worker/start') {
			return createStartAnswer(call, this.startRun(call, now), this.readClock(now));
		}

		if (call.type === 'worker/stop') {
			this.stopRun(call, now);
			return createStopAnswer(call, 'stopped');
		}

		if (call.untilMs !== undefined) {
			this.extendLease(call.untilMs, now);
		}

		this.cursor = Math.max(this.cursor, call.acknowledgedEnd);
		this.dropEnds();
		return this.listRuns(call, now, sentAt);
	}

	/** The answer to a poll that has been carried out. */
	listRuns(poll: EffectOf<'worker/poll'>, now: number, sentAt: number): PollAnswer {
		const running: RunningRow[] = [...this.runs.values()].map(({task, run}) => ({
			task, run, checkpoint: '', percent: now % percentAll, reading: undefined,
		}));
		return createPollAnswer(poll, sentAt, 'held', {
			clockMs: this.readClock(now), answerBornAt: this.bornAt, running, ended: this.ended,
		});
	}

	/** Ends the runs that are over, and all once the lease is. */
	endRuns(now: number): void {
		const hasLapsed = this.readClock(now) >= this.leaseUntilMs;
		this.expiredUpTo = hasLapsed ? this.nextEnd - 1 : this.expiredUpTo;
		for (const run of this.runs.values()) {
			if (hasLapsed || now >= run.endsAt) {
				const how = hasLapsed ? 'lapsed' : run.how;
				this.runs.delete(run.task);
				this.ended = [...this.ended, {
					number: this.nextEnd++, task: run.task, run: run.run, how, checkpoint: '',
				}];
				this.options.noteEnded(this, run, how);
				this.dropEnds();
			}
		}
	}

	private startRun({task, run, untilMs}: EffectOf<'worker/start'>, now: number): StartOutcome {
		if (untilMs <= this.readClock(now)) {
			return this.runs.get(task)?.run === run ? 'started' : 'late';
		}

		this.extendLease(untilMs, now);
		if (this.runs.get(task)?.run === run) {
			return 'started';
		}

		if (run <= (this.highest.get(task) ?? 0) || this.runs.has(task)) {
			return 'stale-run';
		}

		this.highest.set(task, run);
		const begun: ProcessRun = {
			task, run, beganAt: now, endsAt: now + this.options.getRunMs(task), how: 'done',
		};
		this.runs.set(task, begun);
		this.options.noteBegun(this, begun);
		return 'started';
	}

	private stopRun({task, run}: EffectOf<'worker/stop'>, now: number): void {
		this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
		const active = this.runs.get(task);
		if (active?.run === run && active.how === 'done') {
			active.how = 'stopped';
			active.endsAt = Math.min(active.endsAt, now + this.options.drawStopMs(active));
		}
	}

	private extendLease(untilMs: number, now: number): void {
		this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, this.readClock(now) + modelSettings.maxLeaseMs));
	}

	/** Ends up to the cursor are forgotten, also those that come later. */
	private dropEnds(): void {
		for (const {number, how, task} of this.ended) {
			if (number <= this.cursor && number > this.expiredUpTo && how === 'done') {
				this.options.noteAcknowledged?.(task);
			}
		}

		this.ended = this.ended.filter(({number}) => number > this.cursor);
	}
}

export type PollAnswer = Extract<EventBody, {type: 'poll/ended'}>;

type ProcessLists = {readonly clockMs: number | undefined; readonly answerBornAt: number | undefined; readonly running: readonly RunningRow[]; readonly ended: readonly EndedRow[]};

const noLists: ProcessLists = {
	clockMs: undefined, answerBornAt: undefined, running: [], ended: [],
};

function createStartAnswer({worker, task, run, token}: EffectOf<'worker/start'>, outcome: StartOutcome, clockMs?: number): EventBody {
	return {
		type: 'start/ended', workerId: worker.id, bornAt: worker.bornAt, task, run, outcome, clockMs, token,
	};
}

function createStopAnswer({worker, task, run, token}: EffectOf<'worker/stop'>, outcome: StopOutcome): EventBody {
	return {
		type: 'stop/ended', workerId: worker.id, bornAt: worker.bornAt, task, run, outcome, token,
	};
}

function createPollAnswer({worker, isExtra, token}: EffectOf<'worker/poll'>, sentAt: number, outcome: PollOutcome, lists = noLists): PollAnswer {
	return {
		type: 'poll/ended', workerId: worker.id, bornAt: worker.bornAt, outcome, sentAt, isExtra, token, ...lists,
	};
}

/** The answer to a call that was not carried out, or the event of one without an answer. */
export function createAnswer(call: WorkerCall, sentAt: number, outcome: 'unknown' | 'fenced'): EventBody {
	if (call.type === 'worker/start') {
		return createStartAnswer(call, outcome);
	}

	return call.type === 'worker/stop' ? createStopAnswer(call, outcome) : createPollAnswer(call, sentAt, outcome);
}
