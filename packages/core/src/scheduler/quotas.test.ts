/** Quotas of client accounts: what counts as use, what a full quota holds back and what it leaves alone. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createLease, createProgress, createRow, createWorker, HandDrivenHost, listLogEvents, listStarts,
} from './testing/hand-driven.js';
import {createJob, createStep, poolName} from './testing/model-fleet.js';
import {describeQuotaExcess} from './quotas.js';
import {leaseHorizonMs} from './timing.js';
import type {FleetConfig, Resources, StepDefinition} from './types.js';

const tasksOfCap = 4;
const taskCpu = 2000;

/** An account whose cap holds `tasks` of the model's tasks. */
function createAccountConfig(tasks: number, version = 1): FleetConfig {
	return {
		...createConfig({}, version), accounts: [{
			name: 'a', weight: 1000, quota: {cpu: tasks * taskCpu, memoryMb: 0, gpu: 0}, keyDigests: [],
		}],
	};
}

function createAccountJob(number: number, changes: Partial<StepDefinition> = {}, account = 'a') {
	return createJob(number, [createStep(changes)], account === '' ? {} : {account});
}

function lead(tasks = tasksOfCap): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership([], createAccountConfig(tasks));
	host.addWorkers('w1', 'w2');
	return host;
}

const getUse = ({state}: HandDrivenHost): Resources | undefined => state.accountUse.assigned.get('a');

describe('a quota', () => {
	// Guards against: starts above the cap over several workers; a full quota that blocks others' steps behind it.
	it('holds back an account at its cap, over all workers, and nobody behind it', () => {
		const host = lead();
		host.submit(createAccountJob(1, {count: 6}));
		host.submit(createAccountJob(2, {count: 2}, ''));
		const starts = listStarts([...host.effects, ...host.tick(100)]);
		const counts = [1, 2].map(number => new Set(starts.map(({task}) => task).filter(task => Number.parseInt(task, 16) === number)).size);
		expect(counts).toEqual([tasksOfCap, 2]);
		expect(listLogEvents(host.effects).filter(event => event.startsWith('quota-'))).toEqual(['quota-reached']);
	});

	// Guards against: machines that move in for tasks that no machine could start.
	it('adds nothing to the demand of the pool for what it holds back', () => {
		const host = lead();
		host.submit(createAccountJob(1, {count: 1000, isLongRunning: true}));
		host.submit(createAccountJob(2, {count: 1000}));
		host.tick(100);
		const demand = host.state.demand.get(poolName)!;
		expect([demand.waitingTasks, demand.unplaceable.cpu, demand.waitingWork.cpu]).toEqual([0, 0, 0]);
	});

	// Guards against: machines requested for a burst that the cap lets run only later (50 jobs of a second of the whole cap each).
	it('counts as arrived no more than a few seconds of what the cap can run', () => {
		const host = lead();
		for (let number = 1; number <= 50; number++) {
			host.submit(createAccountJob(number, {count: 2 * tasksOfCap, estimateMs: 500}));
		}

		expect(host.state.demand.get(poolName)!.arrivedWork.cpu).toBeLessThanOrEqual(2500 * tasksOfCap * taskCpu);
	});

	// Guards against: a gang begun in part, and a member above the cap.
	it('admits a gang as a whole or not at all', () => {
		const host = lead();
		host.submit(createAccountJob(1, {count: 3, isGang: true}));
		host.submit(createAccountJob(2, {count: 2, isGang: true}));
		host.tick(100);
		expect(getUse(host)?.cpu).toEqual(3 * taskCpu);
	});

	// Guards against: a lowered cap that waits for the next job, stops runs, or lets stored starts go out.
	it('binds at once when it is lowered, also for starts that are not sent yet, and stops nothing', () => {
		const host = lead();
		host.submit(createAccountJob(1, {count: 2}));
		host.tick(100);
		host.isConfirmingAppends = false;
		const append = [...host.submit(createAccountJob(2, {count: 2})), ...host.tick(25)].find(effect => effect.type === 'ledger/commit')!;
		host.dispatch({type: 'config/read', config: createAccountConfig(1, 2)});
		host.isConfirmingAppends = true;
		const effects = [...host.store(append), ...host.tick(200)];
		expect([listStarts(effects).length, effects.filter(({type}) => type === 'worker/stop').length, getUse(host)?.cpu]).toEqual([0, 0, 2 * taskCpu]);

		const later = [...host.dispatch({type: 'config/read', config: createAccountConfig(4, 3)}), ...host.tick(100)];
		expect(listStarts(later).length).toEqual(2);
	});

	// Guards against: one log line for each pass.
	it('is logged once when it is reached and once when it holds back nothing any more', () => {
		const host = lead(1);
		host.submit(createAccountJob(1));
		for (let pass = 0; pass < 10; pass++) {
			host.state.needsPlacement = true;
			host.tick(100);
		}

		host.dispatch({type: 'config/read', config: createAccountConfig(9, 2)});
		host.tick(1500);
		expect(listLogEvents(host.effects).filter(event => event.startsWith('quota-'))).toEqual(['quota-reached', 'quota-cleared']);
	});

	// Guards against: a new leader that starts a full quota again, beside a silent worker's runs and a start without an answer.
	it('counts stored starts after a takeover, at a silent worker until its lease has certainly expired', () => {
		const job = createAccountJob(1, {count: 3});
		const host = HandDrivenHost.create();
		host.submit(job);
		host.submit(createAccountJob(2, {count: 4}));
		const loadedAt = host.now;
		host.takeLeadership([createProgress(0, job, [0, 1, 2].map(index => createRow({index, workerId: 'silent'})))], createAccountConfig(tasksOfCap), createLease('former', 1));
		host.addWorkers('w1', 'w2', 'w3', 'w4');
		const first = listStarts(host.tick(100));
		expect(first.length).toEqual(1);
		expect(getUse(host)?.cpu).toEqual(tasksOfCap * taskCpu);

		// Its start is not answered, and its worker restarts: the start may still be carried out there.
		host.answerStart(first[0]!, 'unknown');
		host.answerPoll(first[0]!.worker.id, {answerBornAt: 2});
		host.tick(loadedAt + leaseHorizonMs - host.now);
		expect(listStarts(host.effects).length).toEqual(1);

		// The earlier leader may have been active, and may have suspended its clock, until the ledger was read.
		host.tick(1500);
		expect(listStarts(host.effects).length).toEqual(tasksOfCap);
		expect(getUse(host)?.cpu).toEqual(tasksOfCap * taskCpu);
	});

	for (const end of ['cancelled', 'failed']) {
		// Guards against: a new leader that forgets what a cancelled or failed job still has running at a silent worker.
		it(`counts the runs of a ${end} job after a takeover until they have certainly ended, and stops them`, () => {
			const job = createAccountJob(1, {count: 4});
			const host = HandDrivenHost.create();
			host.submit(job);
			if (end === 'cancelled') {
				host.dispatch({type: 'intake/read', records: [{type: 'cancel', jobId: job.jobId}]});
			}

			host.submit(createAccountJob(2, {count: 4}));
			host.takeLeadership([createProgress(0, job, [0, 1, 2, 3].map(index => createRow({index, workerId: index < 2 ? 'w1' : 'silent'})), end === 'failed' ? 'failed' : 'running')], createAccountConfig(tasksOfCap));
			host.addWorkers('w1');
			const effects = host.tick(100);
			const stops = effects.filter(effect => effect.type === 'worker/stop' && effect.worker.id === 'w1');
			expect([listStarts(host.effects).length, stops.length]).toEqual([0, 2]);
			for (const index of [0, 1]) {
				host.dispatch({
					type: 'stop/ended', workerId: 'w1', bornAt: 1, task: `${job.jobId}.0.0.${index}`, run: 1, outcome: 'stopped', token: host.token,
				});
			}

			host.now += 10;
			host.answerPoll('w1');
			host.tick(100);
			expect(listStarts(host.effects).length).toEqual(2);
			expect(getUse(host)?.cpu).toEqual(tasksOfCap * taskCpu);
		});
	}

	// Guards against: the room of a start without an answer given to another task while the start may still be carried out.
	it('counts a start that may still be carried out after its worker has gone', () => {
		const host = lead(1);
		host.submit(createAccountJob(1, {count: 1}));
		const [start] = listStarts([...host.effects, ...host.tick(50)]);
		host.answerStart(start!, 'unknown');
		host.answerPoll(start!.worker.id, {outcome: 'other-life'});
		expect(listStarts(host.tick(14_000)).length).toEqual(0);
		expect(listStarts(host.tick(2000)).length).toEqual(1);
	});
});

describe('a run that this leader does not know', () => {
	// Guards against: an account that is charged for good with a run of a worker that died before it confirmed the stop.
	it('no longer counts against its account once the lease of its worker has expired', () => {
		const host = lead();
		const job = createAccountJob(1, {count: 1});
		host.submit(job);
		const unknown = {
			task: `${job.jobId}.0.0.7`, run: 1, checkpoint: '', percent: 10, reading: undefined,
		};
		host.answerPoll('w2', {running: [unknown]});
		host.state.needsPlacement = true;
		host.tick(50);
		expect(host.state.accountUse.uncertain.get('a')?.cpu).toEqual(taskCpu);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1')], isReloaded: true});
		host.tick(15_000);
		host.state.needsPlacement = true;
		host.tick(50);
		expect(host.state.accountUse.uncertain.size).toEqual(0);
	});
});

describe('a job that can never run under its quota', () => {
	// Guards against: a caller who waits for a job that never starts.
	it('is told apart from one that only has to wait', () => {
		const config = createAccountConfig(tasksOfCap);
		const cases: ReadonlyArray<readonly [Partial<StepDefinition>, boolean]> = [
			[{count: 100}, false],
			[{count: 4, isGang: true}, false],
			[{count: 5, isGang: true}, true],
			[{need: {cpu: 8001, memoryMb: 1, gpu: 0}}, true],
			[{need: {cpu: 8000, memoryMb: 1_000_000, gpu: 8}}, false],
		];
		expect(cases.map(([changes]) => describeQuotaExcess(config, createAccountJob(1, changes)) !== undefined)).toEqual(cases.map(([, isExcess]) => isExcess));
		expect(describeQuotaExcess(config, createAccountJob(1, {count: 5, isGang: true}, ''))).toEqual(undefined);
	});
});
