/**
 * One leader, and workers that restart under their ids, with every delay drawn: which of the calls on their way a process
 * carries out, before or after which restart, and which news of that restart comes first. Calls name a worker, not its
 * process. Stops take some time, and what is being stopped goes on and is listed until it has ended.
 */
import {computeWorkerToken} from '../incarnations.js';
import type {SchedulerEffect} from '../effects.js';
import type {PollOutcome, StartOutcome, StopOutcome} from '../events.js';
import type {EndedRow, RunningRow} from '../types.js';
import {
	createWorker, HandDrivenHost, type EffectOf, type EventBody,
} from './hand-driven.js';
import {createJob, createStep} from './model-jobs.js';

const callTimeoutMs = 400;
const tickMs = 25;
const registryMs = 60;
const heldStepMs = 10;
const maxStopMs = 200;
const maxLateMs = 12_000;
const settleMs = 13_000;
const uptimeMs = 5000;
const taskCpu = 16_000;
const capacity = {cpu: taskCpu * 4, memoryMb: 100_000, gpu: 0};
const promptMs = 10;
/** Of 100 calls: as many are prompt, as many others slow, as many others carried out without an answer; the rest is not carried out in time. */
const promptShare = 70;
const slowShare = 88;
const lostShare = 96;
const drawRange = 100;
const untoldEvery = 3;

/** A restart of a worker; `reportMs`: how long after its birth the registry tells of the new process. */
export type DrawnRestart = {readonly worker: number; readonly afterMs: number; readonly downMs: number; readonly reportMs: number};

export type DrawnOrder = {
	readonly workers: number;
	/** Run times of the tasks of one job each, and how long after the former one it is submitted. */
	readonly tasks: ReadonlyArray<{readonly runMs: number; readonly afterMs: number}>;
	readonly restarts: readonly DrawnRestart[];
	/** Numbers below 10,000 that the delays follow from, used one after the other and then again. */
	readonly draws: readonly number[];
	/** Calls that are not carried out in time are carried out up to 12 s late. */
	readonly areCallsLate: boolean;
	/** Some lists of runs do not tell the birth of their process. */
	readonly areBirthsUntold?: boolean;
};

type CallEffect = EffectOf<'worker/start'> | EffectOf<'worker/stop'> | EffectOf<'worker/poll'>;
type Run = {readonly task: string; readonly run: number; endsAt: number; how: 'done' | 'stopped'};

/** What one process of a worker holds. */
class Process {
	static create(bornAt: number): Process {
		return new Process(bornAt);
	}

	readonly runs = new Map<string, Run>();
	ended: EndedRow[] = [];
	fence = 0;
	cursor = 0;
	nextEnd = 1;
	leaseUntil = 0;
	/** Run ends up to this number were listed before the lease expired: acknowledging them later stands for nothing. */
	expiredUpTo = 0;
	readonly highest = new Map<string, number>();

	private constructor(readonly bornAt: number) {}
}

type ProcessLists = {readonly clockMs: number | undefined; readonly answerBornAt: number | undefined; readonly running: readonly RunningRow[]; readonly ended: readonly EndedRow[]};

const noLists: ProcessLists = {
	clockMs: undefined, answerBornAt: undefined, running: [], ended: [],
};

/** A call on its way. */
type SentCall = {readonly effect: CallEffect; readonly sentAt: number; readonly timeoutAt: number; readonly isAnswered: boolean};

type DrawnWorker = {
	readonly id: string;
	process: Process | undefined;
	reportedBirth: number;
	/** Calls that the next process carries out first. */
	readonly waitingCalls: Array<{readonly effect: CallEffect; readonly until: number}>;
};

/** Violated invariants, and what happened in which order. */
export type DrawnResult = {readonly violations: readonly string[]; readonly events: readonly string[]; readonly unfinished: number};

/** Carries out one drawn order of events. */
export function runDrawnOrder(order: DrawnOrder): DrawnResult {
	return DrawnRun.create(order).run();
}

class DrawnRun {
	static create(order: DrawnOrder): DrawnRun {
		return new DrawnRun(order);
	}

	private readonly host = HandDrivenHost.create();
	private readonly workers: DrawnWorker[];
	private readonly runMs = new Map<string, number>();
	/** Tasks with a run that ended as done and whose end was acknowledged while its lease lasted. */
	private readonly acknowledgedAsDone = new Set<string>();
	private readonly violations: string[] = [];
	private readonly events: string[] = [];
	private queue: Array<{readonly at: number; readonly act: () => void}> = [];
	private handled = 0;
	private nextDraw = 0;

	private constructor(private readonly order: DrawnOrder) {
		this.workers = Array.from({length: order.workers}, (_, index) => ({
			id: `w${index}`, process: Process.create(1), reportedBirth: 1, waitingCalls: [],
		}));
	}

	run(): DrawnResult {
		const {host, order} = this;
		host.takeLeadership();
		this.scheduleEvery(registryMs, () => {
			const workers = this.workers.map(({id, reportedBirth}) => createWorker(id, {bornAt: reportedBirth, capacity}));
			this.dispatch({type: 'workers/listed', workers, isReloaded: false});
		});
		this.scheduleEvery(tickMs, () => {
			this.dispatch({type: 'clock/ticked'});
		});
		let at = uptimeMs;
		for (const [index, {runMs, afterMs}] of order.tasks.entries()) {
			at += afterMs;
			const job = createJob(index + 1, [createStep({count: 1, estimateMs: runMs, need: {cpu: taskCpu, memoryMb: 100, gpu: 0}})]);
			this.runMs.set(job.jobId, runMs);
			this.schedule(at, () => {
				this.dispatch({type: 'intake/read', records: [{type: 'job', job}]});
			});
		}

		let lastAt = at;
		at = uptimeMs;
		for (const restart of order.restarts) {
			at += restart.afterMs;
			this.scheduleRestart(at, restart);
		}

		lastAt = Math.max(lastAt, at) + settleMs;
		while (host.now < lastAt) {
			this.advance();
		}

		const unfinished = [...host.state.jobs.values()].filter(({phase}) => phase !== 'completed').length;
		return {violations: this.violations, events: this.events, unfinished};
	}

	private scheduleEvery(everyMs: number, act: () => void): void {
		this.schedule(this.host.now + everyMs, () => {
			act();
			this.scheduleEvery(everyMs, act);
		});
	}

	private schedule(at: number, act: () => void): void {
		this.queue.push({at, act});
	}

	private advance(): void {
		this.host.now += 1;
		this.endRuns();
		const due = this.queue.filter(({at}) => at <= this.host.now);
		if (due.length === 0) {
			return;
		}

		this.queue = this.queue.filter(({at}) => at > this.host.now);
		for (const {act} of due) {
			act();
		}
	}

	private scheduleRestart(at: number, {worker: number, downMs, reportMs}: DrawnRestart): void {
		const worker = this.workers[number % this.workers.length]!;
		this.schedule(at, () => {
			if (!worker.process) {
				return;
			}

			this.note(`${worker.id} ends`);
			worker.process = undefined;
			this.schedule(this.host.now + downMs, () => {
				const bornAt = this.host.now;
				worker.process = Process.create(bornAt);
				this.note(`${worker.id} is born`);
				for (const {effect, until} of worker.waitingCalls.splice(0)) {
					if (bornAt <= until) {
						this.applyCall(effect);
					}
				}

				this.schedule(bornAt + reportMs, () => {
					worker.reportedBirth = Math.max(worker.reportedBirth, bornAt);
				});
			});
		});
	}

	private dispatch(body: EventBody): void {
		this.host.dispatch(body);
		const {effects} = this.host;
		while (this.handled < effects.length) {
			this.handle(effects[this.handled++]!);
		}
	}

	private handle(effect: SchedulerEffect): void {
		if (effect.type === 'worker/start' || effect.type === 'worker/stop' || effect.type === 'worker/poll') {
			this.sendCall(effect);
		} else if (effect.type === 'log' && effect.event === 'task-returned') {
			this.note(`returned ${String(effect.fields.task)}#${String(effect.fields.run)} from ${String(effect.fields.workerId)}: ${String(effect.fields.reason)}`);
		} else if (effect.type === 'log' && effect.event === 'handler-failed') {
			this.violations.push(`handler failed: ${String(effect.fields.reason)}`);
		}
	}

	private draw(): number {
		const {draws} = this.order;
		return draws[this.nextDraw++ % draws.length] ?? 0;
	}

	private sendCall(effect: CallEffect): void {
		const {now} = this.host;
		const draw = this.draw();
		const kind = draw % drawRange;
		const share = Math.floor(draw / drawRange) / drawRange;
		const timeoutAt = now + (effect.type === 'worker/poll' ? effect.waitMs + effect.slackMs : callTimeoutMs);
		const call: SentCall = {
			effect, sentAt: now, timeoutAt, isAnswered: kind < slowShare,
		};
		if (kind < lostShare) {
			const delayMs = kind < promptShare ? 1 + Math.floor(share * promptMs) : 1 + Math.floor(share * (callTimeoutMs - 2));
			this.schedule(now + delayMs, () => {
				this.passCall(call);
			});
			return;
		}

		this.scheduleUnknown(call);
		if (!this.order.areCallsLate) {
			return;
		}

		// The first that the next process hears, or later.
		if (kind % 2 === 0) {
			this.findWorker(effect).waitingCalls.push({effect, until: now + maxLateMs});
		} else {
			this.schedule(now + callTimeoutMs + Math.floor(share * maxLateMs), () => {
				this.applyCall(effect);
			});
		}
	}

	/** A call reaches the process that is there; while there is none, it waits. */
	private passCall(call: SentCall): void {
		const {now} = this.host;
		const worker = this.findWorker(call.effect);
		if (now >= call.timeoutAt) {
			this.scheduleUnknown(call);
			return;
		}

		if (!worker.process) {
			this.schedule(now + heldStepMs, () => {
				this.passCall(call);
			});
			return;
		}

		const body = this.applyCall(call.effect, call.sentAt);
		const draw = this.draw();
		const answerMs = draw % drawRange < promptShare ? 1 + (draw % promptMs) : Math.floor(draw / drawRange) * 4;
		if (!call.isAnswered || now + answerMs >= call.timeoutAt) {
			this.scheduleUnknown(call);
			return;
		}

		this.schedule(now + answerMs, () => {
			this.dispatch(body);
		});
	}

	private scheduleUnknown({effect, sentAt, timeoutAt}: SentCall): void {
		this.schedule(Math.max(timeoutAt, this.host.now + 1), () => {
			this.dispatch(createAnswer(effect, sentAt, 'unknown'));
		});
	}

	private findWorker({worker}: CallEffect): DrawnWorker {
		return this.workers.find(({id}) => id === worker.id)!;
	}

	/** Has the process that is there carry out a call; returns its answer. */
	private applyCall(effect: CallEffect, sentAt = 0): EventBody {
		const {process} = this.findWorker(effect);
		if (!process) {
			return createAnswer(effect, sentAt, 'unknown');
		}

		const token = computeWorkerToken(effect.token, effect.worker);
		if (token < process.fence) {
			return createAnswer(effect, sentAt, 'fenced');
		}

		process.fence = token;
		const clockMs = this.host.now - process.bornAt;
		if (effect.type === 'worker/start') {
			return createStartAnswer(effect, this.startRun(process, effect), clockMs);
		}

		if (effect.type === 'worker/stop') {
			this.stopRun(process, effect);
			return createStopAnswer(effect, 'stopped');
		}

		return createPollAnswer(effect, sentAt, 'held', this.listRuns(process, effect));
	}

	private startRun(process: Process, {worker, task, run, untilMs}: EffectOf<'worker/start'>): StartOutcome {
		const clockMs = this.host.now - process.bornAt;
		if (process.runs.get(task)?.run === run) {
			return 'started';
		}

		if (untilMs <= clockMs) {
			return 'late';
		}

		extendProcessLease(process, untilMs, clockMs);
		if (run <= (process.highest.get(task) ?? 0) || process.runs.has(task)) {
			return 'stale-run';
		}

		process.highest.set(task, run);
		process.runs.set(task, {
			task, run, endsAt: this.host.now + (this.runMs.get(task.split('.')[0]!) ?? 0), how: 'done',
		});
		this.note(`${worker.id}@${process.bornAt} begins ${task}#${run}`);
		if (this.countRuns(task) > 1) {
			this.violations.push(`${this.host.now}: ${task} runs twice at the same time`);
		}

		if (this.acknowledgedAsDone.has(task)) {
			this.violations.push(`${this.host.now}: ${task} starts after its end as done was acknowledged`);
		}

		return 'started';
	}

	private stopRun(process: Process, {worker, task, run}: EffectOf<'worker/stop'>): void {
		process.highest.set(task, Math.max(run, process.highest.get(task) ?? 0));
		const active = process.runs.get(task);
		if (active?.run === run && active.how === 'done') {
			this.note(`${worker.id}@${process.bornAt} stops ${task}#${run}`);
			active.how = 'stopped';
			active.endsAt = Math.min(active.endsAt, this.host.now + (this.draw() % maxStopMs));
		}
	}

	private listRuns(process: Process, {acknowledgedEnd, untilMs}: EffectOf<'worker/poll'>): ProcessLists {
		const clockMs = this.host.now - process.bornAt;
		if (untilMs !== undefined) {
			extendProcessLease(process, untilMs, clockMs);
		}

		process.cursor = Math.max(process.cursor, acknowledgedEnd);
		this.dropEnds(process);
		const running: RunningRow[] = [...process.runs.values()].map(({task, run}) => ({
			task, run, checkpoint: '', percent: this.host.now % drawRange, reading: undefined,
		}));
		const isUntold = this.order.areBirthsUntold === true && this.draw() % untoldEvery === 0;
		return {
			clockMs, answerBornAt: isUntold ? undefined : process.bornAt, running, ended: process.ended,
		};
	}

	/** Ends up to the cursor are forgotten, also those that come later. */
	private dropEnds(process: Process): void {
		for (const {number, how, task} of process.ended) {
			if (number <= process.cursor && number > process.expiredUpTo && how === 'done') {
				this.acknowledgedAsDone.add(task);
			}
		}

		process.ended = process.ended.filter(({number}) => number > process.cursor);
	}

	private endRuns(): void {
		const {now} = this.host;
		for (const {process} of this.workers) {
			if (!process) {
				continue;
			}

			const hasLapsed = now - process.bornAt >= process.leaseUntil;
			process.expiredUpTo = hasLapsed ? process.nextEnd - 1 : process.expiredUpTo;
			for (const run of process.runs.values()) {
				if (hasLapsed || now >= run.endsAt) {
					process.runs.delete(run.task);
					process.ended = [...process.ended, {
						number: process.nextEnd++, task: run.task, run: run.run, how: hasLapsed ? 'lapsed' : run.how, checkpoint: '',
					}];
					this.note(`ends ${run.task}#${run.run} ${hasLapsed ? 'lapsed' : run.how}`);
					this.dropEnds(process);
				}
			}
		}
	}

	private countRuns(task: string): number {
		return this.workers.filter(({process}) => process?.runs.has(task)).length;
	}

	private note(event: string): void {
		this.events.push(`${this.host.now} ${event}`);
	}
}

const maxLeaseMs = 10_000;

function extendProcessLease(process: Process, untilMs: number, clockMs: number): void {
	process.leaseUntil = Math.max(process.leaseUntil, Math.min(untilMs, clockMs + maxLeaseMs));
}

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

function createPollAnswer({worker, isExtra, token}: EffectOf<'worker/poll'>, sentAt: number, outcome: PollOutcome, lists = noLists): EventBody {
	return {
		type: 'poll/ended', workerId: worker.id, bornAt: worker.bornAt, outcome, sentAt, isExtra, token, ...lists,
	};
}

/** The answer to a call that was not carried out, or the event of one without an answer. */
function createAnswer(effect: CallEffect, sentAt: number, outcome: 'unknown' | 'fenced'): EventBody {
	if (effect.type === 'worker/start') {
		return createStartAnswer(effect, outcome);
	}

	return effect.type === 'worker/stop' ? createStopAnswer(effect, outcome) : createPollAnswer(effect, sentAt, outcome);
}
