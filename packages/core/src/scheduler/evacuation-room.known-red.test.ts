/** Workers that drain: room that waiting tasks are about to take is no room for a task that stays well where it is. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep, queueName} from './testing/model-jobs.js';

const wholeWorker = {cpu: 4000, memoryMb: 100, gpu: 0};
const capacity = {cpu: 4000, memoryMb: 100_000, gpu: 0};
const longNoticeMs = 20_000;

describe('a long-running task at a worker that is draining, with much time left', () => {
	/** Guards against a stop for room that stands empty only until the append under way is stored: a more urgent waiting task takes it, and the long-running one is away. */
	it('is not stopped for room that a more urgent waiting task takes', () => {
		const host = HandDrivenHost.create();
		const base = createConfig();
		const config = {
			...base, queues: [...base.queues, {
				...base.queues[0]!, name: 'late', pathPrefix: '/late/', priority: 1,
			}],
		};
		expect(base.queues[0]!.name).toEqual(queueName);
		host.takeLeadership([], config);
		const listWorkers = (remainingMs?: number) => {
			host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {capacity, ...(remainingMs !== undefined && {isDraining: true, remainingMs})}), createWorker('w2', {capacity})], isReloaded: false});
		};

		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {capacity})], isReloaded: false});
		host.now++;
		host.answerPoll('w1');
		host.tick(100);
		const [longStart] = listStarts([...host.submit(createJob(1, [createStep({count: 1, isLongRunning: true, need: wholeWorker})], {queue: 'late'})), ...host.tick(100)]);
		host.answerStart(longStart!);
		const row = {
			task: longStart!.task, run: 1, checkpoint: '', percent: 100, reading: 0,
		};
		host.now++;
		host.answerPoll('w1', {running: [row]});
		listWorkers();
		host.now++;
		host.answerPoll('w2');
		// Three short tasks of an urgent queue: one runs at w2, two wait.
		const shortStarts = listStarts([...host.submit(createJob(2, [createStep({count: 3, need: wholeWorker})])), ...host.tick(100)]);
		expect(shortStarts.map(({worker}) => worker.id)).toEqual(['w2']);
		const [short] = shortStarts;
		host.answerStart(short!);
		host.answerPoll('w1', {running: [row]});
		listWorkers(longNoticeMs);
		expect(host.tick(200).filter(({type}) => type === 'worker/stop')).toEqual([]);

		// The end of the short task is read while an append is under way.
		host.isConfirmingAppends = false;
		const commit = host.tick(500).findLast((effect): effect is EffectOf<'ledger/commit'> => effect.type === 'ledger/commit');
		host.answerPoll('w2', {
			ended: [{
				number: 1, task: short!.task, run: short!.run, how: 'done', checkpoint: '',
			}],
		});
		const stops = host.tick(150).filter(({type}) => type === 'worker/stop');
		host.isConfirmingAppends = true;
		const effects = [...host.store(commit!), ...host.tick(200)];
		expect({stops: stops.length, startedAtW2: listStarts(effects).map(({task}) => task.slice(0, 16).at(-1))}).toEqual({stops: 0, startedAtW2: ['2']});
	});
});
