/** Findings of the review of late starts that are not mended; KNOWN-RED.txt describes each. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createWorker, HandDrivenHost, listLogEvents, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import type {SchedulerEffect} from './effects.js';

const uptimeMs = 5000;
const tickMs = 25;

type Start = EffectOf<'worker/start'>;

function create(...ids: string[]): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers(...ids);
	host.tick(uptimeMs);
	return host;
}

function confirmStops(host: HandDrivenHost, effects: SchedulerEffect[]): SchedulerEffect[] {
	const more: SchedulerEffect[] = [];
	for (const effect of effects) {
		if (effect.type === 'worker/stop') {
			more.push(...host.dispatch({
				type: 'stop/ended', workerId: effect.worker.id, bornAt: effect.worker.bornAt, task: effect.task, run: effect.run, outcome: 'stopped', token: host.token,
			}));
		}
	}

	return more;
}

function pass(host: HandDrivenHost, ms: number, ids: readonly string[], bornAt: Record<string, number> = {}): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	const end = host.now + ms;
	while (host.now < end) {
		const latest = host.tick(tickMs);
		latest.push(...confirmStops(host, latest));
		host.now++;
		for (const id of ids) {
			latest.push(...host.answerPoll(id, {bornAt: bornAt[id] ?? 1}));
		}

		effects.push(...latest);
	}

	return effects;
}

const places = (starts: Start[]) => starts.map(({worker, run}) => `${worker.id}#${run}`);

describe('a start that may still be carried out', () => {
	/** Guards against a worker that is crashed on and on by a task whose start it never answers. */
	it('a task that ends its worker before the start is answered is given up', () => {
		const host = create('w1', 'w2', 'w3', 'w4');
		const job = createJob(1, [createStep({count: 1, estimateMs: 9000})]);
		const effects = host.submit(job);
		effects.push(...host.tick(tickMs));
		const born: Record<string, number> = {
			w1: 1, w2: 1, w3: 1, w4: 1,
		};
		const ids = Object.keys(born);
		const events: SchedulerEffect[] = [];
		let pending = listStarts(effects);
		const end = host.now + 60_000;
		while (host.now < end) {
			for (const start of pending) {
				host.now += 400;
				events.push(...host.answerStart(start, 'unknown'));
				born[start.worker.id] = born[start.worker.id]! + 1;
				host.now += 200;
				const {id} = start.worker;
				const shown = host.answerPoll(id, {bornAt: born[id]! - 1, answerBornAt: born[id], clockMs: 100});
				const listed = host.dispatch({type: 'workers/listed', workers: ids.map(other => createWorker(other, {bornAt: born[other]})), isReloaded: false});
				events.push(...shown, ...listed, ...confirmStops(host, [...events, ...shown, ...listed].filter(effect => effect.type === 'worker/stop').slice(-1)));
			}

			const latest = pass(host, 100, ids, born);
			pending = listStarts(latest);
			events.push(...latest);
		}

		expect(listLogEvents(events).includes('task-given-up')).toEqual(true);
	});

	/** Guards against a task that waits for a worker whose machine was moved. */
	it('a task whose worker was moved with its machine is not bound to it any more', () => {
		const host = create('w1', 'w2');
		const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)]);
		const {id} = start!.worker;
		const other = id === 'w1' ? 'w2' : 'w1';
		host.now += 400;
		host.answerStart(start!, 'unknown');
		host.dispatch({type: 'workers/listed', workers: [createWorker(id, {isDraining: true, remainingMs: 600}), createWorker(other)], isReloaded: false});
		pass(host, 1000, [id, other]);
		// As releaseWorkers does when an order to the machine is done.
		const worker = host.state.workers.get(id)!;
		const held = worker.tasks.size;
		host.state.workers.delete(id);
		host.state.endedWorkers.set(id, worker.bornAt);
		const effects = pass(host, 2000, [other]);
		expect({held, starts: places(listStarts(effects))}).toEqual({held: 0, starts: [`${other}#2`]});
	});
});
