/**
 * Workers that restart under their ids, with every delay drawn: which of the calls on their way a process carries out, before or
 * after which restart, and which news of that restart comes first. Calls name a worker, not its process. Stops take some time,
 * and what is being stopped goes on and is listed until it has ended. The lead may change hands once, and workers may be cut off.
 */
import type {SchedulerEffect} from '../effects.js';
import {maxClockDrift} from '../timing.js';
import {createWorker, type EventBody} from './hand-driven.js';
import {
	HostPair, type LeadEnd, type PairedHost, type PairOptions,
} from './host-pair.js';
import {createJob, createStep} from './model-jobs.js';
import {
	createAnswer, isWorkerCall, WorkerProcess, type ProcessOptions, type ProcessRun, type WorkerCall,
} from './worker-process.js';

const callTimeoutMs = 400;
const registryMs = 60;
const heldStepMs = 10;
const maxStopMs = 200;
const maxLateMs = 12_000;
const settleMs = 13_000;
const uptimeMs = 5000;
/** An expiry then lies beyond the longest lease of a new process. */
const longUptimeMs = 10_000;
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

/** A worker out of reach; `afterMs` counts from the first task. */
export type DrawnCut = {readonly worker: number; readonly afterMs: number; readonly forMs: number};

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
	/** The first leader goes, and another host takes the lead. Calls on their way go on; clocks of workers are then 2% slow. */
	readonly leadEnd?: {readonly how: LeadEnd; readonly afterMs: number};
	/** Workers that are out of reach for a while; they run on. */
	readonly cuts?: readonly DrawnCut[];
};

/** A call on its way. */
type SentCall = {readonly effect: WorkerCall; readonly from: PairedHost; readonly sentAt: number; readonly timeoutAt: number; readonly isAnswered: boolean};

type DrawnWorker = {
	readonly id: string;
	process: WorkerProcess | undefined;
	reportedBirth: number;
	isCut: boolean;
	/** Calls that the next process carries out first. */
	readonly waitingCalls: Array<{readonly effect: WorkerCall; readonly until: number}>;
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

	private now = 0;
	private readonly hosts: HostPair;
	private readonly workers: DrawnWorker[];
	private readonly runMs = new Map<string, number>();
	/** Tasks with a run that ended as done and whose end was acknowledged while its lease lasted. */
	private readonly acknowledgedAsDone = new Set<string>();
	private readonly violations: string[] = [];
	private readonly events: string[] = [];
	private queue: Array<{readonly at: number; readonly act: () => void}> = [];
	private nextDraw = 0;

	private constructor(private readonly order: DrawnOrder) {
		this.workers = Array.from({length: order.workers}, (_, index) => ({
			id: `w${index}`, process: this.createProcess(`w${index}`, 1), reportedBirth: 1, isCut: false, waitingCalls: [],
		}));
		this.hosts = this.createHosts();
		this.now = this.hosts.leader.now;
	}

	run(): DrawnResult {
		const {order} = this;
		this.scheduleEvery(registryMs, () => {
			const workers = this.workers.map(({id, reportedBirth}) => createWorker(id, {bornAt: reportedBirth, capacity}));
			this.hosts.dispatchAll({type: 'workers/listed', workers, isReloaded: false});
		});
		const firstAt = order.leadEnd ? longUptimeMs : uptimeMs;
		let at = firstAt;
		for (const [index, {runMs, afterMs}] of order.tasks.entries()) {
			at += afterMs;
			const job = createJob(index + 1, [createStep({count: 1, estimateMs: runMs, need: {cpu: taskCpu, memoryMb: 100, gpu: 0}})]);
			this.runMs.set(job.jobId, runMs);
			this.schedule(at, () => {
				this.hosts.dispatchAll({type: 'intake/read', records: [{type: 'job', job}]});
			});
		}

		let lastAt = at;
		at = firstAt;
		for (const restart of order.restarts) {
			at += restart.afterMs;
			this.scheduleRestart(at, restart);
		}

		this.scheduleCuts(firstAt);
		lastAt = Math.max(lastAt, at, firstAt + (order.leadEnd?.afterMs ?? 0)) + settleMs;
		while (this.now < lastAt) {
			this.advance();
		}

		const unfinished = [...this.hosts.leader.state.jobs.values()].filter(({phase}) => phase !== 'completed').length;
		return {violations: this.violations, events: this.events, unfinished};
	}

	private scheduleEvery(everyMs: number, act: () => void): void {
		this.schedule(this.now + everyMs, () => {
			act();
			this.scheduleEvery(everyMs, act);
		});
	}

	private schedule(at: number, act: () => void): void {
		this.queue.push({at, act});
	}

	private advance(): void {
		this.now += 1;
		this.endRuns();
		const due = this.queue.filter(({at}) => at <= this.now);
		if (due.length === 0) {
			return;
		}

		this.queue = this.queue.filter(({at}) => at > this.now);
		for (const {act} of due) {
			act();
		}
	}

	private createHosts(): HostPair {
		const options: PairOptions = {
			getNow: () => this.now,
			schedule: (inMs, act) => {
				this.schedule(this.now + inMs, act);
			},
			handle: (from, effect) => {
				this.handle(from, effect);
			},
		};
		return this.order.leadEnd ? HostPair.create(options) : HostPair.createSingle(options);
	}

	/** Schedules the end of the lead, and the times when workers are out of reach. */
	private scheduleCuts(firstAt: number): void {
		const {leadEnd, cuts = []} = this.order;
		if (leadEnd) {
			this.schedule(firstAt + leadEnd.afterMs, () => {
				this.note(`lead ${leadEnd.how}`);
				this.hosts.endLead(leadEnd.how);
			});
		}

		for (const {worker: number, afterMs, forMs} of cuts) {
			const worker = this.workers[number % this.workers.length]!;
			this.schedule(firstAt + afterMs, () => {
				this.note(`${worker.id} is cut off`);
				worker.isCut = true;
			});
			this.schedule(firstAt + afterMs + forMs, () => {
				this.note(`${worker.id} is back`);
				worker.isCut = false;
			});
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
			this.schedule(this.now + downMs, () => {
				const bornAt = this.now;
				worker.process = this.createProcess(worker.id, bornAt);
				this.note(`${worker.id} is born`);
				for (const {effect, until} of worker.waitingCalls.splice(0)) {
					if (bornAt <= until) {
						worker.process.applyCall(effect, this.now);
					}
				}

				this.schedule(bornAt + reportMs, () => {
					worker.reportedBirth = Math.max(worker.reportedBirth, bornAt);
				});
			});
		});
	}

	private handle(from: PairedHost, effect: SchedulerEffect): void {
		if (isWorkerCall(effect)) {
			this.sendCall(from, effect);
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

	private sendCall(from: PairedHost, effect: WorkerCall): void {
		const {now} = this;
		const draw = this.draw();
		const kind = draw % drawRange;
		const share = Math.floor(draw / drawRange) / drawRange;
		const timeoutAt = now + (effect.type === 'worker/poll' ? effect.waitMs + effect.slackMs : callTimeoutMs);
		const call: SentCall = {
			effect, from, sentAt: now, timeoutAt, isAnswered: kind < slowShare,
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
				this.findWorker(effect).process?.applyCall(effect, this.now);
			});
		}
	}

	/** A call reaches the process that is there; while there is none, it waits. */
	private passCall(call: SentCall): void {
		const {now} = this;
		const worker = this.findWorker(call.effect);
		if (now >= call.timeoutAt || worker.isCut) {
			this.scheduleUnknown(call);
			return;
		}

		if (!worker.process) {
			this.schedule(now + heldStepMs, () => {
				this.passCall(call);
			});
			return;
		}

		const body = this.applyCall(worker.process, call);
		const draw = this.draw();
		const answerMs = draw % drawRange < promptShare ? 1 + (draw % promptMs) : Math.floor(draw / drawRange) * 4;
		if (!call.isAnswered || now + answerMs >= call.timeoutAt) {
			this.scheduleUnknown(call);
			return;
		}

		this.schedule(now + answerMs, () => {
			if (worker.isCut) {
				this.scheduleUnknown(call);
			} else {
				this.hosts.dispatch(call.from, body);
			}
		});
	}

	private scheduleUnknown({effect, from, sentAt, timeoutAt}: SentCall): void {
		this.schedule(Math.max(timeoutAt, this.now + 1), () => {
			this.hosts.dispatch(from, createAnswer(effect, sentAt, 'unknown'));
		});
	}

	private findWorker({worker}: WorkerCall): DrawnWorker {
		return this.workers.find(({id}) => id === worker.id)!;
	}

	/** Has a process carry out a call; returns its answer. */
	private applyCall(process: WorkerProcess, {effect, sentAt}: SentCall): EventBody {
		const answer = process.applyCall(effect, this.now, sentAt);
		const isUntold = answer.type === 'poll/ended' && answer.outcome === 'held' && this.order.areBirthsUntold === true && this.draw() % untoldEvery === 0;
		return isUntold ? {...answer, answerBornAt: undefined} : answer;
	}

	private createProcess(id: string, bornAt: number): WorkerProcess {
		const options: ProcessOptions = {
			clockRate: this.order.leadEnd ? 1 - maxClockDrift : 1,
			getRunMs: task => this.runMs.get(task.split('.')[0]!) ?? 0,
			drawStopMs: ({task, run}) => {
				this.note(`${id}@${bornAt} stops ${task}#${run}`);
				return this.draw() % maxStopMs;
			},
			noteBegun: (_, run) => {
				this.noteBegun(id, bornAt, run);
			},
			noteEnded: (_, {task, run}, how) => {
				this.note(`ends ${task}#${run} ${how}`);
			},
			noteAcknowledged: task => {
				this.acknowledgedAsDone.add(task);
			},
		};
		return WorkerProcess.create(id, bornAt, options);
	}

	private noteBegun(id: string, bornAt: number, {task, run}: ProcessRun): void {
		this.note(`${id}@${bornAt} begins ${task}#${run}`);
		if (this.countRuns(task) > 1) {
			this.violations.push(`${this.now}: ${task} runs twice at the same time`);
		}

		if (this.acknowledgedAsDone.has(task)) {
			this.violations.push(`${this.now}: ${task} starts after its end as done was acknowledged`);
		}
	}

	private endRuns(): void {
		for (const {process} of this.workers) {
			process?.endRuns(this.now);
		}
	}

	private countRuns(task: string): number {
		return this.workers.filter(({process}) => process?.runs.has(task)).length;
	}

	private note(event: string): void {
		this.events.push(`${this.now} ${event}`);
	}
}
