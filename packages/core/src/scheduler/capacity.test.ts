/** LIMIT: no start brings a worker over its capacity, which may shrink and grow, also with workers that do not refuse what does not fit. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createProgress, createRow, createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import type {SchedulerEffect} from './effects.js';
import type {
	Resources, RunningRow, StepDefinition, WorkerEntry,
} from './types.js';

const taskCpu = 2000;

function createCapacity(tasks: number, changes: Partial<Resources> = {}): Resources {
	return {
		cpu: tasks * taskCpu, memoryMb: 100_000, gpu: 0, ...changes,
	};
}

function createRunningRow(task: string, run = 1): RunningRow {
	return {
		task, run, checkpoint: '', percent: 50, reading: undefined,
	};
}

function listWorkers(host: HandDrivenHost, ...workers: readonly WorkerEntry[]): SchedulerEffect[] {
	return host.dispatch({type: 'workers/listed', workers, isReloaded: false});
}

/** A leader whose polls of these workers were answered; nothing runs on them. */
function createLeader(...workers: readonly WorkerEntry[]): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	listWorkers(host, ...workers);
	host.now++;
	for (const {id} of workers) {
		host.answerPoll(id);
	}

	host.tick(50);
	return host;
}

function submitTasks(host: HandDrivenHost, number: number, changes: Partial<StepDefinition> = {}): SchedulerEffect[] {
	return host.submit(createJob(number, [createStep({count: 1, estimateMs: 60_000, ...changes})]));
}

/** Submits a job whose placement is not stored yet; returns the append that stores it. */
function placeTasks(host: HandDrivenHost, changes: Partial<StepDefinition> = {}): EffectOf<'ledger/commit'> {
	host.isConfirmingAppends = false;
	const commit = submitTasks(host, 1, changes).find(effect => effect.type === 'ledger/commit');
	host.isConfirmingAppends = true;
	return commit!;
}

function listTargets(effects: readonly SchedulerEffect[]): string[] {
	return listStarts(effects).map(({worker, task, run}) => `${worker.id} ${task} ${run}`);
}

describe('a worker that shrinks between the placement of a task and its start', () => {
	/** Guards against starts that were decided by a capacity that the worker has no longer. */
	it('gets no more starts than fit', () => {
		const host = createLeader(createWorker('w1', {capacity: createCapacity(3)}));
		const commit = placeTasks(host, {count: 3});
		listWorkers(host, createWorker('w1', {capacity: createCapacity(1)}));
		expect(listStarts(host.store(commit)).length).toEqual(1);
		expect(listStarts(host.tick(500))).toEqual([]);
	});

	it('gives its tasks to another worker at once, and they come back when it has grown', () => {
		const host = createLeader(createWorker('w1', {capacity: createCapacity(2)}));
		const commit = placeTasks(host, {count: 2});
		const shrunk = createWorker('w1', {capacity: createCapacity(0)});
		listWorkers(host, shrunk, createWorker('w2', {capacity: createCapacity(1)}));
		host.answerPoll('w2');
		const effects = [...host.store(commit), ...host.tick(50)];
		expect(listTargets(effects)).toEqual(['w2 0000000000000001.0.0.0 2']);
		listWorkers(host, createWorker('w1', {capacity: createCapacity(2)}), createWorker('w2', {capacity: createCapacity(1)}));
		host.tick(50);
		expect(listTargets(host.effects)).toEqual(['w2 0000000000000001.0.0.0 2', 'w1 0000000000000001.0.0.1 2']);
	});

	for (const [name, changes] of [['memory', {memoryMb: 50}], ['accelerators', {gpu: 0}]] as const) {
		it(`counts ${name} too`, () => {
			const need = {cpu: 0, memoryMb: 100, gpu: name === 'memory' ? 0 : 1};
			const host = createLeader(createWorker('w1', {capacity: createCapacity(3, {gpu: 1})}));
			const commit = placeTasks(host, {need, isFiller: true});
			listWorkers(host, createWorker('w1', {capacity: createCapacity(3, {gpu: 1, ...changes})}));
			expect(listStarts(host.store(commit))).toEqual([]);
		});
	}

	/** Guards against a gang of which some members are started and wait for one that does not fit any more. */
	it('gets no member of a gang that does not fit as a whole any more', () => {
		const host = createLeader(createWorker('w1', {capacity: createCapacity(3)}));
		const commit = placeTasks(host, {count: 3, isGang: true});
		listWorkers(host, createWorker('w1', {capacity: createCapacity(2)}));
		expect(listStarts([...host.store(commit), ...host.tick(500)])).toEqual([]);
		listWorkers(host, createWorker('w1', {capacity: createCapacity(3)}));
		host.tick(50);
		expect(listStarts(host.effects).map(({run}) => run)).toEqual([2, 2, 2]);
	});
});

describe('a worker that has shrunk below what runs on it', () => {
	it('keeps its runs and gets nothing more until there is room again, and what is being stopped counts', () => {
		const host = createLeader(createWorker('w1', {capacity: createCapacity(3)}));
		const started = listStarts([...submitTasks(host, 1, {count: 3}), ...host.tick(50)]);
		expect(started.length).toEqual(3);
		const running = started.map(({task, run}) => createRunningRow(task, run));
		for (const start of started) {
			host.answerStart(start);
		}

		host.answerPoll('w1', {running});
		listWorkers(host, createWorker('w1', {capacity: createCapacity(1)}));
		submitTasks(host, 2);
		host.tick(500);
		host.answerPoll('w1', {running});
		expect(host.effects.filter(({type}) => type === 'worker/stop')).toEqual([]);
		expect(listStarts(host.effects).length).toEqual(3);
		host.dispatch({type: 'intake/read', records: [{type: 'cancel', jobId: createJob(1, []).jobId}]});
		host.tick(100);
		for (const {task, run} of started) {
			host.dispatch({
				type: 'stop/ended', workerId: 'w1', bornAt: 1, task, run, outcome: 'stopped', token: host.token,
			});
		}

		host.answerPoll('w1', {running});
		host.tick(100);
		expect(listStarts(host.effects).length).toEqual(3);
		host.now++;
		host.answerPoll('w1', {running: []});
		host.tick(100);
		expect(listTargets(host.effects).at(-1)).toEqual('w1 0000000000000002.0.0.0 1');
	});

	/** Guards against a reload of the registry that is some seconds old. */
	it('stays so when the registry tells of an earlier report again', () => {
		const host = createLeader(createWorker('w1', {capacity: createCapacity(2), sequence: 6}));
		listWorkers(host, createWorker('w1', {capacity: createCapacity(1), sequence: 8}));
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {capacity: createCapacity(2), sequence: 7})], isReloaded: true});
		submitTasks(host, 1, {count: 2});
		host.tick(500);
		expect(listStarts(host.effects).length).toEqual(1);
		listWorkers(host, createWorker('w1', {capacity: createCapacity(2), sequence: 9}));
		host.tick(500);
		expect(listStarts(host.effects).length).toEqual(2);
	});

	it('is judged so by a new leader, whatever its predecessor had placed there', () => {
		const host = HandDrivenHost.create();
		const job = createJob(1, [createStep({count: 2, estimateMs: 60_000})]);
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow(), createRow({index: 1})])]);
		listWorkers(host, createWorker('w1', {capacity: createCapacity(1)}));
		host.now++;
		const running = [0, 1].map(index => createRunningRow(`${job.jobId}.0.0.${index}`));
		host.answerPoll('w1', {running});
		submitTasks(host, 2);
		host.tick(500);
		expect(listStarts(host.effects)).toEqual([]);
	});

	it('counts runs that this leader does not know, until a poll shows that they are gone', () => {
		const host = createLeader(createWorker('w1', {capacity: createCapacity(1)}));
		host.answerPoll('w1', {running: [createRunningRow('00000000000000aa.0.0.0')]});
		submitTasks(host, 1);
		host.tick(500);
		expect(listStarts(host.effects)).toEqual([]);
	});
});

describe('a run that a leader does not know and that is reported between a placement and its start', () => {
	/** Guards against a start beside a run of an earlier leader that was carried out late. */
	it('keeps the start from being sent', () => {
		const host = createLeader(createWorker('w1', {capacity: createCapacity(1)}));
		const commit = placeTasks(host);
		host.answerPoll('w1', {running: [createRunningRow('00000000000000aa.0.0.0')]});
		expect(listStarts(host.store(commit))).toEqual([]);
	});

	/** Guards against answers on two connections that overtake each other. */
	it('counts although the answer to an earlier poll, which arrives later, does not list it', () => {
		const host = createLeader(createWorker('w1', {capacity: createCapacity(1)}));
		const earlier = host.now;
		host.tick(100);
		host.answerPoll('w1', {running: [createRunningRow('00000000000000aa.0.0.0')], isExtra: true});
		host.answerPoll('w1', {running: [], sentAt: earlier});
		submitTasks(host, 1);
		host.tick(100);
		expect(listStarts(host.effects)).toEqual([]);
		host.answerPoll('w1', {running: []});
		host.tick(100);
		expect(listStarts(host.effects).length).toEqual(1);
	});
});

describe('a new incarnation of a worker that a poll shows before the registry does', () => {
	/** Guards against a worker that came back as another kind and is filled by the capacity of its former life. */
	it('gets nothing until the registry tells its capacity, and then what fits', () => {
		const host = createLeader(createWorker('w1', {capacity: createCapacity(3)}));
		host.answerPoll('w1', {answerBornAt: 2});
		host.answerPoll('w1', {bornAt: 2, answerBornAt: 2});
		submitTasks(host, 1, {count: 3});
		host.tick(500);
		// The registry still tells of the former incarnation.
		listWorkers(host, createWorker('w1', {capacity: createCapacity(3)}));
		host.tick(500);
		expect(listStarts(host.effects)).toEqual([]);
		listWorkers(host, createWorker('w1', {bornAt: 2, capacity: createCapacity(1)}));
		host.tick(500);
		expect(listStarts(host.effects).length).toEqual(1);
	});

	/** Guards against a start that the former incarnation left unanswered and the new one carries out beside others. */
	it('keeps room for starts that it may still carry out, until it has confirmed that it will not', () => {
		const host = createLeader(createWorker('w1', {capacity: createCapacity(1)}));
		const [start] = listStarts([...submitTasks(host, 1), ...host.tick(50)]);
		host.answerStart(start!, 'unknown');
		host.answerPoll('w1', {outcome: 'other-life'});
		host.dispatch({type: 'intake/read', records: [{type: 'cancel', jobId: createJob(1, []).jobId}]});
		listWorkers(host, createWorker('w1', {bornAt: 2, capacity: createCapacity(1)}));
		host.answerPoll('w1', {bornAt: 2, answerBornAt: 2});
		submitTasks(host, 2);
		host.tick(200);
		expect(listStarts(host.effects).length).toEqual(1);
		host.dispatch({
			type: 'stop/ended', workerId: 'w1', bornAt: 2, task: start!.task, run: start!.run, outcome: 'stopped', token: host.token,
		});
		host.tick(500);
		expect(listTargets(host.effects).slice(1)).toEqual(['w1 0000000000000002.0.0.0 1']);
	});
});

describe('a worker without capacity', () => {
	it('gets no start', () => {
		const host = createLeader(createWorker('w1', {capacity: {cpu: 0, memoryMb: 0, gpu: 0}}));
		submitTasks(host, 1);
		expect(listStarts(host.tick(500))).toEqual([]);
	});
});
