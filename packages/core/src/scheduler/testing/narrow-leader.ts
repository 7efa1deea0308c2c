/** One leader whose calls to workers leave one after another, as on a host with little bandwidth or processor time; all workers are sound. */
import type {Instant} from '../../types/time.js';
import type {SchedulerEffect} from '../effects.js';
import type {SchedulerEvent} from '../events.js';
import {reduceScheduler} from '../reduce.js';
import {createSchedulerState, type SchedulerSettings, type SchedulerState} from '../state.js';
import type {FleetConfig, JobDefinition, LedgerRecord} from '../types.js';
import {modelConfig} from './model-jobs.js';
import {createWorkerEntry} from './model-leader.js';
import {modelSettings} from './model-settings.js';
import {ModelWorker} from './model-worker.js';

const stepMs = 5;
const tickMs = 25;
const storeMs = 10;
const answerMs = 5;
const orderTimeoutMs = 400;
const wallStart = 1_800_000_000_000;
const firstAt = 1000;

export type NarrowLeaderOptions = {
	readonly workers: number;
	/** How long each call occupies the host. */
	readonly callMs: number;
	/** What a new connection costs in addition, after a call that timed out. */
	readonly connectMs: number;
	readonly settings?: Partial<SchedulerSettings>;
	readonly config?: FleetConfig;
	/** How long a run takes, if not as estimated. */
	readonly computeRunMs?: (job: JobDefinition, step: number, workerId: string) => number;
};

type EventBody = SchedulerEvent extends infer Event ? (Event extends SchedulerEvent ? Omit<Event, 'at' | 'wallAt'> : never) : never;
type WorkerEffect = Extract<SchedulerEffect, {type: 'worker/start' | 'worker/stop' | 'worker/poll'}>;
type Scheduled = {readonly at: number; readonly run: () => void};

/** A call that the worker has not answered yet. */
type OpenCall = {isOver: boolean};

export class NarrowLeader {
	static create(options: NarrowLeaderOptions): NarrowLeader {
		return new NarrowLeader(options);
	}

	readonly state: SchedulerState;
	readonly workers = new Map<string, ModelWorker>();
	/** Workers that calls do not reach. */
	readonly unreachableWorkers = new Set<string>();
	readonly events: string[] = [];
	/** Records stored in the ledger. */
	readonly records: LedgerRecord[] = [];
	/** Calls sent, by type. */
	readonly sent: Record<WorkerEffect['type'], number> = {'worker/start': 0, 'worker/stop': 0, 'worker/poll': 0};
	/** Calls that timed out, by type. */
	readonly timedOut: Record<WorkerEffect['type'], number> = {'worker/start': 0, 'worker/stop': 0, 'worker/poll': 0};
	doneRuns = 0;
	now = firstAt;
	private readonly jobs = new Map<string, JobDefinition>();
	private readonly waitingPolls = new Map<string, Array<() => void>>();
	private scheduled: Scheduled[] = [];
	private isFreeAt = 0;
	private nextTickAt = firstAt;

	private constructor(private readonly options: NarrowLeaderOptions) {
		this.state = createSchedulerState({...modelSettings, ...options.settings});
		const entries = Array.from({length: options.workers}, (_, index) => createWorkerEntry(`w-${index}`, `m-${index}`));
		for (const entry of entries) {
			this.workers.set(entry.id, ModelWorker.create(entry));
		}

		this.push({type: 'config/read', config: options.config ?? modelConfig});
		this.state.leadership.hasLoadedLedger = true;
		this.state.leadership.role = 'claiming';
		this.state.leadership.claim = {token: 1, sentAt: this.now};
		this.push({type: 'claim/ended', outcome: 'granted', claimedAt: 0});
		this.push({type: 'workers/listed', workers: entries, isReloaded: false});
	}

	submit(job: JobDefinition): void {
		this.jobs.set(job.jobId, job);
		this.push({type: 'intake/read', records: [{type: 'job', job}]});
	}

	run(forMs: number): void {
		for (const end = this.now + forMs; this.now < end;) {
			this.now += stepMs;
			this.endRuns();
			const due = this.scheduled.filter(({at}) => at <= this.now);
			this.scheduled = this.scheduled.filter(({at}) => at > this.now);
			for (const {run} of due) {
				run();
			}

			if (this.now >= this.nextTickAt) {
				this.nextTickAt = this.now + tickMs;
				this.push({type: 'clock/ticked'});
			}
		}
	}

	countEvents(name: string): number {
		return this.events.filter(event => event === name).length;
	}

	private endRuns(): void {
		for (const [id, worker] of this.workers) {
			const done = worker.advance(this.now);
			this.doneRuns += done.length;
			if (done.length > 0) {
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
		this.scheduled.push({at: this.now + afterMs, run});
	}

	private push(body: EventBody): void {
		const event: SchedulerEvent = {...body, at: this.now, wallAt: (wallStart + this.now) as Instant};
		for (const effect of reduceScheduler(this.state, event)) {
			this.handleEffect(effect);
		}
	}

	private handleEffect(effect: SchedulerEffect): void {
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check
		switch (effect.type) {
			case 'ledger/commit': {
				this.schedule(storeMs, () => {
					this.records.push(...effect.records);
					this.push({type: 'commit/ended', outcome: 'stored', sequence: effect.sequence});
				});
				break;
			}

			case 'worker/start': {
				this.callStart(effect);
				break;
			}

			case 'worker/stop': {
				const {worker: {id, bornAt}, task, run, token} = effect;
				const base = {
					type: 'stop/ended' as const, workerId: id, bornAt, task, run,
				};
				this.call(effect, orderTimeoutMs, {...base, outcome: 'unknown'}, (worker, answer) => {
					worker.stop(task, run, token);
					answer({...base, outcome: 'stopped'});
					this.answerWaitingPolls(id);
				});
				break;
			}

			case 'worker/poll': {
				this.callPoll(effect);
				break;
			}

			case 'log': {
				this.events.push(effect.event);
				break;
			}

			default: {
				break;
			}
		}
	}

	/** Sends a call when the calls before it have left; it is carried out also if the host gives it up before. */
	private call(effect: WorkerEffect, timeoutMs: number, unknown: EventBody, execute: (worker: ModelWorker, answer: (body: EventBody) => void) => void): void {
		const {callMs, connectMs} = this.options;
		this.sent[effect.type]++;
		this.isFreeAt = Math.max(this.isFreeAt, this.now) + callMs;
		const open: OpenCall = {isOver: false};
		this.schedule(timeoutMs, () => {
			if (!open.isOver) {
				open.isOver = true;
				this.timedOut[effect.type]++;
				this.isFreeAt = Math.max(this.isFreeAt, this.now) + connectMs;
				this.push(unknown);
			}
		});
		if (this.unreachableWorkers.has(effect.worker.id)) {
			return;
		}

		this.schedule(this.isFreeAt - this.now, () => {
			execute(this.workers.get(effect.worker.id)!, body => {
				this.schedule(answerMs, () => {
					if (!open.isOver) {
						open.isOver = true;
						this.push(body);
					}
				});
			});
		});
	}

	private callStart(effect: Extract<SchedulerEffect, {type: 'worker/start'}>): void {
		const {worker: {id, bornAt}, task, run, token, untilMs} = effect;
		const [jobId, , step] = task.split('.');
		const job = this.jobs.get(jobId!)!;
		const {need, estimateMs} = job.steps[Number(step)]!;
		const runMs = this.options.computeRunMs?.(job, Number(step), id) ?? estimateMs;
		const base = {
			type: 'start/ended' as const, workerId: id, bornAt, task, run,
		};
		this.call(effect, orderTimeoutMs, {...base, outcome: 'unknown', clockMs: undefined}, (worker, answer) => {
			const outcome = worker.start({
				run: {
					task, run, need, startedAt: this.now, endsAt: this.now + runMs, end: 'done',
				}, untilMs, token,
			}, this.now);
			answer({...base, outcome, clockMs: this.now});
		});
	}

	private callPoll(effect: Extract<SchedulerEffect, {type: 'worker/poll'}>): void {
		const {worker: {id, bornAt}, token, untilMs, acknowledgedEnd, waitMs, slackMs, isExtra} = effect;
		const base = {
			type: 'poll/ended' as const, workerId: id, bornAt, sentAt: this.now, isExtra, running: [], ended: [], clockMs: undefined, answerBornAt: undefined,
		};
		this.call(effect, waitMs + slackMs, {...base, outcome: 'unknown'}, (worker, answer) => {
			const read = () => worker.poll({untilMs, token, ackedEnd: acknowledgedEnd}, this.now)!;
			let isAnswered = false;
			const answerNow = () => {
				if (!isAnswered) {
					isAnswered = true;
					answer({
						...base, ...read(), outcome: 'held', clockMs: this.now, answerBornAt: bornAt,
					});
				}
			};

			if (read().ended.length > 0 || waitMs === 0) {
				answerNow();
				return;
			}

			this.waitingPolls.set(id, [...this.waitingPolls.get(id) ?? [], answerNow]);
			this.schedule(waitMs, answerNow);
		});
	}
}
