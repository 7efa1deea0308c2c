/**
 * For tests: two hosts on one store, the first of which leads until it releases the lead or dies, and workers that keep their
 * leases as PROTOCOL.md says, on clocks that are 2% slow. The test says which processes end and begin, which workers are cut
 * off, and which calls are kept back until it has the process that is there then carry them out.
 */
import {maxClockDrift} from '../timing.js';
import type {JobDefinition} from '../types.js';
import {createWorker, type EffectOf, type EventBody} from './hand-driven.js';
import {HostPair, type LeadEnd, type PairedHost} from './host-pair.js';
import {
	createAnswer, isWorkerCall, WorkerProcess, type ProcessRun, type WorkerCall,
} from './worker-process.js';

const registryMs = 60;
const networkMs = 2;
const heldStepMs = 5;
const callTimeoutMs = 400;
const stopMs = 100;

/** A run as the worker had it; `endedAt` is absent while it goes on. */
export type SeenRun = {readonly task: string; readonly run: number; readonly workerId: string; readonly beganAt: number; endedAt?: number};

type RigWorker = {readonly id: string; process: WorkerProcess | undefined; reportedBirth: number; isCut: boolean};
type SentCall = {readonly call: WorkerCall; readonly from: PairedHost; readonly sentAt: number; readonly timeoutAt: number};

export class LeadChange {
	static create(): LeadChange {
		return new LeadChange();
	}

	now = 0;
	readonly runs: SeenRun[] = [];
	/** Runs that began while another one of their task was at work. */
	readonly doubles: string[] = [];
	private readonly hosts: HostPair;
	private readonly workers = new Map<string, RigWorker>();
	private readonly keptBack: WorkerCall[] = [];
	private readonly runMs = new Map<string, number>();
	private queue: Array<{readonly at: number; readonly act: () => void}> = [];
	private isKeptBack: ((call: WorkerCall) => boolean) | undefined;

	private constructor() {
		this.hosts = HostPair.create({
			getNow: () => this.now,
			schedule: (inMs, act) => {
				this.schedule(inMs, act);
			},
			handle: (from, effect) => {
				if (isWorkerCall(effect)) {
					this.sendCall(from, effect);
				}
			},
		});
		this.passRegistry();
	}

	/** True once the second host leads. */
	get isHandedOver(): boolean {
		return this.hosts.isHandedOver;
	}

	runUntil(until: number): void {
		while (this.now < until) {
			this.now++;
			for (const {process} of this.workers.values()) {
				process?.endRuns(this.now);
			}

			const due = this.queue.filter(({at}) => at <= this.now);
			this.queue = due.length > 0 ? this.queue.filter(({at}) => at > this.now) : this.queue;
			for (const {act} of due) {
				act();
			}
		}
	}

	submit(job: JobDefinition, runMs: number): void {
		this.runMs.set(job.jobId, runMs);
		this.hosts.dispatchAll({type: 'intake/read', records: [{type: 'job', job}]});
	}

	/** Adds a worker, which the registry lists from now on. */
	addWorker(id: string): void {
		const process = this.createProcess(id);
		this.workers.set(id, {
			id, process, reportedBirth: process.bornAt, isCut: false,
		});
	}

	/** Ends a worker's process, and all that runs there. */
	crashWorker(id: string): void {
		const worker = this.workers.get(id)!;
		for (const run of worker.process?.runs.values() ?? []) {
			this.noteEnded(id, run);
		}

		worker.process = undefined;
	}

	/** Begins a worker's next process, which carries the calls out first that were kept back. */
	restartWorker(id: string): void {
		const worker = this.workers.get(id)!;
		worker.process = this.createProcess(id);
		this.applyKeptBack();
	}

	/** From now on the registry tells of the worker's present process. */
	reportWorker(id: string): void {
		const worker = this.workers.get(id)!;
		worker.reportedBirth = worker.process!.bornAt;
	}

	/** From now on no call reaches the worker, and no answer of it anyone. It runs on. */
	cutWorker(id: string): void {
		this.workers.get(id)!.isCut = true;
	}

	/** Has the processes that are there carry out the calls that were kept back. */
	applyKeptBack(): void {
		for (const call of this.keptBack.splice(0)) {
			this.workers.get(call.worker.id)!.process?.applyCall(call, this.now);
		}
	}

	/** Keeps the next such call back: its sender gets no answer. */
	keepNextBack(isMeant: (call: WorkerCall) => boolean): void {
		this.isKeptBack = isMeant;
	}

	/** Ends the first host's lead. */
	endLead(how: LeadEnd): void {
		this.hosts.endLead(how);
	}

	private createProcess(id: string): WorkerProcess {
		return WorkerProcess.create(id, this.now, {
			clockRate: 1 - maxClockDrift,
			getRunMs: task => this.runMs.get(task.split('.')[0]!) ?? 0,
			drawStopMs: () => stopMs,
			noteBegun: (_, run) => {
				this.noteBegun(id, run);
			},
			noteEnded: (_, run) => {
				this.noteEnded(id, run);
			},
		});
	}

	private noteBegun(workerId: string, {task, run, beganAt}: ProcessRun): void {
		for (const {id, process} of this.workers.values()) {
			const other = process?.runs.get(task);
			if (id !== workerId && other) {
				this.doubles.push(`run ${run} of ${task} begins on ${workerId} at ${beganAt}; run ${other.run} may be at work on ${id} until ${process!.leaseEnd}`);
			}
		}

		this.runs.push({
			task, run, workerId, beganAt,
		});
	}

	private noteEnded(workerId: string, {task, run}: ProcessRun): void {
		this.runs.findLast(seen => seen.workerId === workerId && seen.task === task && seen.run === run)!.endedAt = this.now;
	}

	private schedule(inMs: number, act: () => void): void {
		this.queue.push({at: this.now + inMs, act});
	}

	private passRegistry(): void {
		const workers = [...this.workers.values()].map(({id, reportedBirth}) => createWorker(id, {bornAt: reportedBirth}));
		this.hosts.dispatchAll({type: 'workers/listed', workers, isReloaded: false});
		this.schedule(registryMs, () => {
			this.passRegistry();
		});
	}

	private sendCall(from: PairedHost, call: WorkerCall): void {
		const timeoutMs = call.type === 'worker/poll' ? call.waitMs + call.slackMs : callTimeoutMs;
		const sent: SentCall = {
			call, from, sentAt: this.now, timeoutAt: this.now + timeoutMs,
		};
		if (this.isKeptBack?.(call)) {
			this.isKeptBack = undefined;
			this.keptBack.push(call);
			this.scheduleUnknown(sent);
			return;
		}

		this.schedule(networkMs, () => {
			this.passCall(sent);
		});
	}

	/** A call reaches the process that is there; while there is none, it waits. */
	private passCall(sent: SentCall): void {
		const {call, sentAt, timeoutAt} = sent;
		const worker = this.workers.get(call.worker.id)!;
		if (worker.isCut || this.now >= timeoutAt) {
			this.scheduleUnknown(sent);
			return;
		}

		const {process} = worker;
		if (!process) {
			this.schedule(heldStepMs, () => {
				this.passCall(sent);
			});
			return;
		}

		const answer = process.applyCall(call, this.now, sentAt);
		if (call.type === 'worker/poll' && answer.type === 'poll/ended' && answer.outcome === 'held') {
			this.waitForEnd(sent, worker, process, this.now + call.waitMs);
		} else {
			this.passAnswer(sent, worker, process, answer);
		}
	}

	/** Answers a poll once a run ends, or when it has waited for long enough. */
	private waitForEnd(sent: SentCall, worker: RigWorker, process: WorkerProcess, until: number): void {
		const answer = process.listRuns(sent.call as EffectOf<'worker/poll'>, this.now, sent.sentAt);
		if (answer.ended.length > 0 || this.now >= until) {
			this.passAnswer(sent, worker, process, answer);
			return;
		}

		this.schedule(heldStepMs, () => {
			this.waitForEnd(sent, worker, process, until);
		});
	}

	private passAnswer(sent: SentCall, worker: RigWorker, process: WorkerProcess, answer: EventBody): void {
		if (worker.isCut || worker.process !== process) {
			this.scheduleUnknown(sent);
			return;
		}

		this.schedule(networkMs, () => {
			this.hosts.dispatch(sent.from, answer);
		});
	}

	private scheduleUnknown({call, from, sentAt, timeoutAt}: SentCall): void {
		this.schedule(Math.max(1, timeoutAt - this.now), () => {
			this.hosts.dispatch(from, createAnswer(call, sentAt, 'unknown'));
		});
	}
}
