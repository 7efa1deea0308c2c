/** Executes the effects of the model's hosts at its store and workers. */
import {computeWorkerToken} from '../incarnations.js';
import type {SchedulerEffect} from '../effects.js';
import type {RunEnd} from '../types.js';
import type {ModelChecks} from './model-checks.js';
import type {EventBody, ModelCalls, ModelFaults} from './model-faults.js';
import {resetCursor, type ModelHost} from './model-hosts.js';
import type {ModelStore} from './model-store.js';
import type {ModelTime} from './model-time.js';
import type {ModelWorker} from './model-worker.js';

const percentAll = 100;

type EffectOf<Type extends SchedulerEffect['type']> = Extract<SchedulerEffect, {readonly type: Type}>;
type EffectHandlers = {readonly [Type in SchedulerEffect['type']]?: (host: ModelHost, effect: EffectOf<Type>) => void};

/** `events`: the log lines of all hosts; `registryLagMs`: how late a host reads a change of a worker's entry at most. */
export type ModelEffectsOptions = {
	readonly time: ModelTime;
	readonly store: ModelStore;
	readonly workers: readonly ModelWorker[];
	readonly checks: ModelChecks;
	readonly calls: ModelCalls;
	readonly getFaults: () => ModelFaults;
	readonly events: string[];
	readonly registryLagMs: number;
	/** Called when a worker begins a run. */
	readonly noteStart: (task: string, worker: ModelWorker) => void;
};

export class ModelEffects {
	static create(options: ModelEffectsOptions): ModelEffects {
		return new ModelEffects(options);
	}

	/** Effects for machines, advice and waves have no handler, as the model has none of them. */
	private readonly handlers: EffectHandlers = {
		'ledger/claim': (host, {at, token, sequence, holder}) => {
			const {calls, store} = this.options;
			calls.call(host, () => ({type: 'claim/ended', claimedAt: at, outcome: store.claim(at, token, sequence, holder)}), {type: 'claim/ended', claimedAt: at, outcome: 'unknown'});
		},
		'ledger/commit': (host, {token, sequence, records}) => {
			const {calls, store} = this.options;
			calls.call(host, () => ({type: 'commit/ended', sequence, outcome: store.append(token, sequence, records)}), {type: 'commit/ended', sequence, outcome: 'unknown'});
		},
		'ledger/reload'(host) {
			resetCursor(host.ledger);
		},
		'worker/start': (host, effect) => {
			this.callStart(host, effect);
		},
		'worker/stop': (host, effect) => {
			this.callStop(host, effect);
		},
		'worker/poll': (host, effect) => {
			this.callPoll(host, effect);
		},
		log: (host, {event, fields}) => {
			const {checks, events, time} = this.options;
			if (event === 'handler-failed') {
				checks.violations.push(`handler failed: ${String(fields.reason)}`);
			}

			events.push(`${time.now} host-${host.index} ${event} ${JSON.stringify(fields)}`);
		},
	};

	private constructor(private readonly options: ModelEffectsOptions) {}

	run(host: ModelHost, effect: SchedulerEffect): void {
		const handle = this.handlers[effect.type] as ((host: ModelHost, effect: SchedulerEffect) => void) | undefined;
		handle?.(host, effect);
	}

	private callWorker(host: ModelHost, workerId: string, execute: (worker: ModelWorker, isLate: boolean) => EventBody, unknown: EventBody): void {
		const worker = this.options.workers.find(({entry}) => entry.id === workerId)!;
		this.options.calls.call(host, isLate => worker.isUp && !worker.isCut ? execute(worker, isLate) : undefined, unknown);
	}

	private callStart(host: ModelHost, effect: EffectOf<'worker/start'>): void {
		const {checks, getFaults, noteStart, registryLagMs, time} = this.options;
		const {task, run} = effect;
		const knownFrom = time.now - registryLagMs;
		const base = {
			type: 'start/ended' as const, workerId: effect.worker.id, bornAt: effect.worker.bornAt, task, run, clockMs: undefined,
		};
		const readClock = (worker: ModelWorker) => ({clockMs: worker.readClock(time.now)});
		this.callWorker(host, effect.worker.id, (worker, isLate) => {
			const {need, estimateMs} = checks.findStep(task);
			// With faults on, one run in a hundred fails.
			const end: RunEnd = getFaults().lostPercent > 0 && time.draw(1, percentAll) === 1 ? 'failed' : 'done';
			const hadRun = worker.runs.get(task)?.run === run;
			const outcome = worker.start({
				run: {
					task, run, need, startedAt: time.now, endsAt: time.now + estimateMs, end,
				}, untilMs: effect.untilMs, token: computeWorkerToken(effect.token, effect.worker),
			}, time.now);
			if (outcome === 'started' && !hadRun) {
				checks.recordRun(task, end === 'failed');
				checks.checkStart(task, need, worker, {knownFrom, isLate});
				checks.syncGang(task, run);
				noteStart(task, worker);
			}

			return {...base, ...readClock(worker), outcome};
		}, {...base, outcome: 'unknown'});
	}

	private callStop(host: ModelHost, effect: EffectOf<'worker/stop'>): void {
		const {task, run} = effect;
		const base = {
			type: 'stop/ended' as const, workerId: effect.worker.id, bornAt: effect.worker.bornAt, task, run,
		};
		this.callWorker(host, effect.worker.id, worker => ({...base, outcome: worker.stop(task, run, computeWorkerToken(effect.token, effect.worker)) ? 'stopped' : 'fenced'}), {...base, outcome: 'unknown'});
	}

	private callPoll(host: ModelHost, effect: EffectOf<'worker/poll'>): void {
		const {checks, getFaults, time} = this.options;
		const {untoldBirthPercent = 0} = getFaults();
		const isBirthUntold = untoldBirthPercent > 0 && time.draw(1, percentAll) <= untoldBirthPercent;
		const base = {
			type: 'poll/ended' as const, workerId: effect.worker.id, bornAt: effect.worker.bornAt, sentAt: time.now, isExtra: effect.isExtra,
			clockMs: undefined, answerBornAt: undefined, running: [], ended: [],
		};
		this.callWorker(host, effect.worker.id, worker => {
			const token = computeWorkerToken(effect.token, effect.worker);
			if (!worker.isFenced(token)) {
				checks.checkAcknowledged(worker, effect.acknowledgedEnd);
			}

			const lists = worker.poll({...effect, token, ackedEnd: effect.acknowledgedEnd}, time.now);
			return lists
				? {
					...base, outcome: 'held', clockMs: worker.readClock(time.now), answerBornAt: isBirthUntold ? undefined : worker.bornAt, ...lists,
				}
				: {...base, outcome: 'fenced'};
		}, {...base, outcome: 'unknown'});
	}
}
