/** Tasks that crash each worker that starts them: they are given up after few crashes, and the tasks that are lost beside them are not. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../types/time.js';
import {
	createProgress, createRow, createWorker, HandDrivenHost, listLogEvents, listStarts,
} from './testing/hand-driven.js';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './testing/model-fleet.js';
import type {StepDefinition, TaskCrash} from './types.js';

const seeds = [1, 2, 3, 4, 5];
/** After three workers have crashed under a task, it may be started twice more. */
const mostCrashes = 5;
const wallStart = 1_800_000_000_000;
const soon = {crashAfterMs: 10, downMs: 3000};

function createFleet(seed: number, workers = 6): ModelFleet {
	const fleet = ModelFleet.create({
		seed, hosts: 3, workers, faults: noFaults,
	});
	fleet.run(3000);
	return fleet;
}

function formatId(number: number): string {
	return number.toString(16).padStart(16, '0');
}

/** Submits a job whose first task is deadly, and jobs beside it that could all be done; returns the numbers of these. */
function submitAround(fleet: ModelFleet, changes: Partial<StepDefinition> = {}, deadly = soon): number[] {
	fleet.deadlyTasks.set(`${formatId(1)}.0.0.0`, deadly);
	const others = Array.from({length: 24}, (_, index) => index + 2);
	fleet.submit(createJob(1, [createStep({count: 2, ...changes})]));
	for (const number of others) {
		fleet.submit(createJob(number, [createStep({count: 3, estimateMs: fleet.draw(200, 1500)})]));
		fleet.run(fleet.draw(5, 150));
	}

	return others;
}

function listPhases(fleet: ModelFleet, numbers: readonly number[]): string[] {
	return [...new Set(numbers.map(number => fleet.getPhase(formatId(number)) ?? 'unknown'))];
}

describe('a task that crashes each worker that starts it', () => {
	/** Guards against a task that crashes worker after worker, as runs lost with their worker left no trace. */
	it('is given up after at most two more starts than three crashes, and every job beside it completes', () => {
		for (const seed of seeds) {
			const fleet = createFleet(seed);
			const others = submitAround(fleet);
			fleet.run(40_000);
			const crashes = fleet.crashes.get(`${formatId(1)}.0.0.0`) ?? 0;
			expect({
				seed, isBounded: crashes <= mostCrashes, phase: fleet.getPhase(formatId(1)), others: listPhases(fleet, others), violations: fleet.violations,
			}).toEqual({
				seed, isBounded: true, phase: 'failed', others: ['completed'], violations: [],
			});
		}
	});

	/** Guards against a long-running task, restarted however it ends, that crashes worker after worker. */
	it('crashes as few if it is long-running, though its job goes on', () => {
		for (const seed of seeds) {
			const fleet = createFleet(seed);
			const others = submitAround(fleet, {isLongRunning: true, count: 1});
			fleet.run(40_000);
			const crashes = fleet.crashes.get(`${formatId(1)}.0.0.0`) ?? 0;
			expect({
				seed, isBounded: crashes <= mostCrashes, others: listPhases(fleet, others), violations: fleet.violations,
			}).toEqual({
				seed, isBounded: true, others: ['completed'], violations: [],
			});
		}
	});

	/** Guards against counts that start anew with each leader. */
	it('is given up after as many crashes if the leader changes after each', () => {
		for (const seed of seeds) {
			const fleet = createFleet(seed);
			const others = submitAround(fleet);
			for (let round = 0; round < 12; round++) {
				fleet.run(3000);
				fleet.stopLeader(600);
			}

			fleet.run(20_000);
			const crashes = fleet.crashes.get(`${formatId(1)}.0.0.0`) ?? 0;
			expect({
				seed, isBounded: crashes <= mostCrashes, phase: fleet.getPhase(formatId(1)), others: listPhases(fleet, others), violations: fleet.violations,
			}).toEqual({
				seed, isBounded: true, phase: 'failed', others: ['completed'], violations: [],
			});
		}
	});

	it('does not take along a second one, nor the other way round', () => {
		for (const seed of seeds) {
			const fleet = createFleet(seed);
			fleet.deadlyTasks.set(`${formatId(2)}.0.0.1`, {crashAfterMs: 200, downMs: 4000});
			fleet.deadlyTasks.set(`${formatId(9)}.0.0.2`, soon);
			const others = submitAround(fleet).filter(number => number !== 2 && number !== 9);
			fleet.run(40_000);
			const crashes = [...fleet.crashes.values()];
			expect({
				seed, isBounded: crashes.every(count => count <= mostCrashes), crashing: crashes.length, others: listPhases(fleet, others),
			}).toEqual({
				seed, isBounded: true, crashing: 3, others: ['completed'],
			});
		}
	});
});

describe('innocent tasks', () => {
	/** Guards against jobs that are given up, or wait for ever, because many workers crash at once. */
	it('all complete after half of the pool has crashed at once, and again a second later', () => {
		for (const seed of seeds) {
			const fleet = createFleet(seed, 10);
			const numbers = Array.from({length: 60}, (_, index) => index + 1);
			for (const number of numbers) {
				fleet.submit(createJob(number, [createStep({count: 3, estimateMs: 1500})]));
			}

			fleet.run(700);
			for (let index = 0; index < 5; index++) {
				fleet.killWorker(index, 2000);
			}

			fleet.run(1000);
			for (let index = 5; index < 9; index++) {
				fleet.killWorker(index, 2000);
			}

			fleet.run(25_000);
			expect({seed, phases: listPhases(fleet, numbers), violations: fleet.violations}).toEqual({seed, phases: ['completed'], violations: []});
		}
	});

	/** Guards against innocent long-running tasks that wait for a trial that never comes. */
	it('are at work again within seconds if they are long-running', () => {
		for (const seed of seeds) {
			const fleet = createFleet(seed, 4);
			fleet.submit(createJob(1, [createStep({count: 6, isLongRunning: true, estimateMs: 500_000})]));
			fleet.run(200);
			fleet.killWorker(fleet.workers.findIndex(({runs}) => runs.size > 0), 2000);
			fleet.run(11_000);
			const atWork = [0, 1, 2, 3, 4, 5].filter(number => fleet.countRuns(`${formatId(1)}.0.0.${number}`) === 1).length;
			expect({seed, atWork, phase: fleet.getPhase(formatId(1))}).toEqual({seed, atWork: 6, phase: 'running'});
		}
	});

	it('all complete in a pool of two workers beside one that is deadly', () => {
		const fleet = createFleet(7, 2);
		const others = submitAround(fleet);
		fleet.run(60_000);
		expect(listPhases(fleet, others)).toEqual(['completed']);
	});
});

describe('a job with long-running tasks', () => {
	const lastingJob = createJob(1, [createStep({
		count: 6, isLongRunning: true, estimateMs: 500_000, maxPerWorker: 1, maxUnavailable: 1,
	})]);

	function countAtWork(fleet: ModelFleet): number {
		return [0, 1, 2, 3, 4, 5].filter(number => fleet.countRuns(`${formatId(1)}.0.0.${number}`) === 1).length;
	}

	/** Guards against a job that is given up, and all its tasks stopped, because one worker crashes again and again. */
	it('goes on however often one of its workers crashes, and none of its other tasks is stopped', () => {
		for (const seed of seeds) {
			const fleet = createFleet(seed);
			fleet.submit(lastingJob);
			fleet.run(2000);
			for (let crash = 0; crash < 8; crash++) {
				fleet.run(5000);
				fleet.killWorker(5, 1000);
			}

			fleet.run(12_000);
			const starts = [...fleet.starts].filter(([task]) => task.startsWith(formatId(1))).map(([, count]) => count).toSorted((a, b) => a - b);
			expect({
				seed, phase: fleet.getPhase(formatId(1)), atWork: countAtWork(fleet), untouched: starts.slice(0, 5),
			}).toEqual({
				seed, phase: 'running', atWork: 6, untouched: [1, 1, 1, 1, 1],
			});
		}
	});

	/** Guards against a job that is given up although its long-running tasks must be restarted whatever ends them. */
	it('goes on if one of them crashes each worker, which starts again after growing pauses', () => {
		for (const seed of seeds) {
			const fleet = createFleet(seed, 8);
			fleet.deadlyTasks.set(`${formatId(1)}.0.0.2`, soon);
			fleet.submit(lastingJob);
			fleet.run(60_000);
			const crashes = fleet.crashes.get(`${formatId(1)}.0.0.2`) ?? 0;
			expect({
				seed, phase: fleet.getPhase(formatId(1)), atWork: countAtWork(fleet), isRestarted: crashes > 2, isBounded: crashes <= 6,
			}).toEqual({
				seed, phase: 'running', atWork: 5, isRestarted: true, isBounded: true,
			});
		}
	});

	it('goes on if a short task of another step crashes each worker', () => {
		const fleet = createFleet(3, 8);
		fleet.deadlyTasks.set(`${formatId(1)}.0.1.0`, soon);
		fleet.submit(createJob(1, [...lastingJob.steps, createStep({count: 1})]));
		fleet.run(40_000);
		expect([fleet.getPhase(formatId(1)), countAtWork(fleet)]).toEqual(['running', 6]);
	});
});

describe('losses that tell only slightly against a task', () => {
	/** Guards against a short job that is shown as failed, though none of its runs failed, because it met with many crashes. */
	it('do not make its job fail, however many they are', () => {
		for (const seed of seeds) {
			const fleet = createFleet(seed);
			fleet.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})]));
			for (let crash = 0; crash < 7; crash++) {
				fleet.run(3000);
				fleet.killWorker(fleet.workers.findIndex(({runs}) => runs.size > 0), 1000);
			}

			fleet.run(25_000);
			expect([seed, fleet.getPhase(formatId(1))]).toEqual([seed, 'completed']);
		}
	});

	it('are kept up to the latest five', () => {
		const job = createJob(1, [createStep({count: 1, isLongRunning: true})]);
		const crashes = [1, 2, 3, 4, 5].map((run): TaskCrash => ({
			run, workerId: 'w9', bornAt: run, at: 0 as Instant, isConfirmed: true, blame: 'slight',
		}));
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow({run: 6, crashes})])]);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: 2})], isReloaded: true});
		host.answerPoll('w1', {answerBornAt: 2, clockMs: 10});
		const [task] = [...host.state.suspects];
		expect(task!.crashes.map(({run}) => run)).toEqual([2, 3, 4, 5, 6]);
	});
});

describe('stored evidence', () => {
	const crash: TaskCrash = {
		run: 1, workerId: 'w9', bornAt: 1, at: 0 as Instant, isConfirmed: true, blame: 'shared',
	};
	const job = createJob(1, [createStep({count: 1})]);

	/** A host that takes over a task that waits, and has one worker. */
	function takeOver(row: Parameters<typeof createRow>[0]): HandDrivenHost {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow({run: 3, ...row})])]);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1')], isReloaded: true});
		return host;
	}

	it('of a worker that is back as another incarnation counts as a crash under the task that was placed there', () => {
		const host = takeOver({run: 5, crashes: [1, 2, 3, 4].map(run => ({...crash, run}))});
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: 2})], isReloaded: true});
		expect(listLogEvents(host.answerPoll('w1', {answerBornAt: 2, clockMs: 10})).includes('task-given-up')).toEqual(true);
	});

	it('is absent from records of earlier versions, which count as no crash', () => {
		const host = takeOver({});
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: 2})], isReloaded: true});
		expect(host.state.jobs.get(job.jobId)?.live?.phase).toEqual('running');
	});

	it('is dropped if a silent worker turns out to be alive', () => {
		const host = takeOver({
			status: 'waiting', workerId: '', workerBornAt: 0, crashes: [{...crash, workerId: 'w1', isConfirmed: false}],
		});
		host.now++;
		host.answerPoll('w1');
		host.tick(100);
		expect(listStarts(host.effects).map(({run}) => run)).toEqual([4]);
		expect([...host.state.suspects]).toEqual([]);
	});

	/** Guards against a task that is convicted by the mere passing of time, as losses of other workers are forgotten. */
	it('that was not enough does not become enough while a task waits', () => {
		const host = HandDrivenHost.create();
		host.submit(job);
		const now = wallStart as Instant;
		const crashes: TaskCrash[] = [{...crash, at: now}, {
			...crash, run: 2, at: now, blame: 'sole',
		}];
		host.takeLeadership([createProgress(0, job, [createRow({
			status: 'waiting', workerId: '', workerBornAt: 0, crashes,
		})])]);
		host.tick(60_000);
		expect(host.state.jobs.get(job.jobId)?.live?.phase).toEqual('running');
	});

	it('makes each suspect member of a gang start alone on its worker, all at the same time', () => {
		const gang = createJob(2, [createStep({count: 4, isGang: true})]);
		const rows = [0, 1, 2, 3].map(index => createRow({
			index, status: 'waiting', workerId: '', workerBornAt: 0, ...(index < 2 && {crashes: [crash]}),
		}));
		const host = HandDrivenHost.create();
		host.submit(gang);
		host.takeLeadership([createProgress(0, gang, rows)]);
		host.addWorkers('w1', 'w2', 'w3', 'w4');
		host.tick(200);
		const workerIds = listStarts(host.effects).map(({worker}) => worker.id);
		const alone = workerIds.slice(0, 2);
		expect({starts: workerIds.length, alone: new Set(alone).size, others: workerIds.slice(2).filter(id => alone.includes(id))}).toEqual({starts: 4, alone: 2, others: []});
	});
});
