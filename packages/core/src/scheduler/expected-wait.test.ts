/** The expected waits that the leader computes from its state, and when it publishes them. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createWorker, HandDrivenHost, type EffectOf,
} from './testing/hand-driven.js';
import {createMachineEntry, ModelLeader} from './testing/model-leader.js';
import {createJob, createStep} from './testing/model-fleet.js';
import {computeWaits} from './expected-wait.js';
import type {
	AccountName, FleetConfig, LoadFigures, WorkerEntry,
} from './types.js';

const config: FleetConfig = {...createConfig(), accounts: []};
/** Half of a worker's 64 cores for one second. */
const half = createStep({count: 1, need: {cpu: 32_000, memoryMb: 100, gpu: 0}, estimateMs: 1000});
/** How long two such tasks take with 85% of the capacity in use, rounded up. */
const pairMs = 1177;

function listPublished(host: HandDrivenHost): LoadFigures[] {
	const commits = host.effects.filter((effect): effect is EffectOf<'ledger/commit'> => effect.type === 'ledger/commit');
	return commits.flatMap(({records}) => records.flatMap(record => record.type === 'load' ? record.load : []));
}

function submitJobs(host: HandDrivenHost, from: number, count: number): void {
	for (let number = from; number < from + count; number++) {
		host.submit(createJob(number, [half]));
	}
}

function createLeader(isAdmissionEnabled = true): HandDrivenHost {
	const host = HandDrivenHost.create({isAdmissionEnabled});
	host.takeLeadership([], config);
	host.addWorkers('w1');
	return host;
}

/** Keeps the worker's lease alive without any news. */
function tick(host: HandDrivenHost, forMs: number): void {
	for (let passed = 0; passed < forMs; passed += 100) {
		host.tick(100);
		host.answerPoll('w1', {
			running: [...host.state.workers.get('w1')!.tasks.values()].map(({name, run}) => ({
				task: name, run, checkpoint: '', percent: 1, reading: 0,
			})),
		});
	}
}

describe('the expected wait', () => {
	it('is the work ahead over the capacity, and none while there is room', () => {
		const host = createLeader();
		submitJobs(host, 1, 2);
		host.tick(300);
		expect(listPublished(host)).toEqual([]);
		submitJobs(host, 3, 2);
		host.tick(300);
		const [wait] = listPublished(host).at(-1)!.waits;
		expect(wait!.startMs > 1.5 * pairMs && wait!.startMs <= 2 * pairMs).toEqual(true);
	});

	/** Guards against: capacity that long-running tasks hold for good counts as available, and waits look shorter than they are. */
	it('leaves out the capacity of long-running tasks', () => {
		const host = createLeader();
		host.submit(createJob(50, [{...half, isLongRunning: true}]));
		host.tick(50);
		submitJobs(host, 1, 2);
		host.tick(300);
		const [wait] = listPublished(host).at(-1)!.waits;
		expect(wait!.startMs > 1.5 * pairMs && wait!.startMs <= 2 * pairMs).toEqual(true);
	});

	/** Guards against: new jobs that could be in time are refused because late ones, which go after them, wait. */
	it('has late jobs ahead only of jobs that are late too', () => {
		const host = createLeader();
		submitJobs(host, 1, 4);
		tick(host, 3000);
		const [wait] = listPublished(host).at(-1)!.waits;
		expect(wait!.startMs).toEqual(0);
		expect(wait!.backlogMs >= pairMs).toEqual(true);
		expect(wait!.delayMs >= wait!.backlogMs).toEqual(true);
	});

	/** Guards against: jobs beyond the share of their account make the others wait. */
	it('has excess jobs ahead only of other excess jobs', () => {
		const host = createLeader();
		submitJobs(host, 1, 2);
		host.tick(50);
		submitJobs(host, 3, 2);
		for (const job of host.state.jobs.values()) {
			Object.assign(job, {isExcess: true});
		}

		const [wait] = computeWaits(host.state);
		expect([wait!.startMs, wait!.delayMs]).toEqual([0, 0]);
		expect(wait!.excessMs >= pairMs).toEqual(true);
	});

	/** Guards against: jobs are refused although machines that are on their way will have done the work by then. */
	it('counts machines on their way from the time at which they are expected', () => {
		const leader = ModelLeader.create({isAdmissionEnabled: true});
		const worker: WorkerEntry = {...createWorker('w1'), machineId: 'm1'};
		leader.listWorkers(worker);
		leader.listMachines([createMachineEntry('m1', {workerId: 'w1'}), createMachineEntry('m2', {pool: 'spare'})]);
		leader.run(200);
		for (let number = 1; number <= 20; number++) {
			leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(number, [half])}]});
		}

		leader.run(50);
		const [before] = computeWaits(leader.state);
		leader.state.machines.get('m2')!.order = {
			number: 1, type: 'move', pool: worker.pool, wave: 0, isReserving: false, reservedUntil: 0, polledWorkers: new Set(), isInFlight: true, retryAt: 0, confirmedAt: undefined,
		};
		leader.state.machines.get('m2')!.entry = createMachineEntry('m2', {capacity: worker.capacity});
		const [after] = computeWaits(leader.state);
		const workMs = 10 * pairMs;
		expect(Math.abs(before!.startMs - workMs) < pairMs).toEqual(true);
		expect(Math.abs(after!.startMs - ((workMs + 1500) / 2)) < pairMs).toEqual(true);
	});
});

describe('the published figures', () => {
	/** Guards against: a leader of a third of a core writes a record for each job, or hosts keep refusing when all waits are over. */
	it('are stored when they differ from what the hosts assume, at most each 250 ms, and once more when all waits are over', () => {
		const host = createLeader();
		submitJobs(host, 1, 20);
		host.tick(100);
		expect(listPublished(host).length <= 1).toEqual(true);
		for (let number = 21; number <= 40; number++) {
			submitJobs(host, number, 1);
			host.tick(25);
		}

		expect(listPublished(host).length >= 2).toEqual(true);
		expect(listPublished(host).length <= 4).toEqual(true);
		for (const {definition: {jobId}} of host.state.jobs.values()) {
			host.dispatch({type: 'intake/read', records: [{type: 'cancel', jobId}]});
		}

		host.tick(300);
		const count = listPublished(host).length;
		expect(listPublished(host).at(-1)!.waits).toEqual([]);
		host.tick(1000);
		expect(listPublished(host).length).toEqual(count);
	});

	/** Guards against: fleets whose operators have not asked for it are served otherwise than before. */
	it('are not computed where admission is not enabled', () => {
		const host = createLeader(false);
		submitJobs(host, 1, 20);
		host.tick(600);
		expect(listPublished(host)).toEqual([]);
	});

	/** Guards against: a new leader that has heard one worker of many takes the pool for tiny, and the hosts refuse what there is capacity for. */
	it('are not computed by a new leader before most workers have answered', () => {
		const host = HandDrivenHost.create({isAdmissionEnabled: true});
		host.takeLeadership([], config);
		host.dispatch({type: 'workers/listed', workers: ['w1', 'w2', 'w3', 'w4'].map(id => createWorker(id)), isReloaded: true});
		host.now++;
		host.answerPoll('w1');
		submitJobs(host, 1, 8);
		host.tick(300);
		expect(listPublished(host)).toEqual([]);
		for (const id of ['w2', 'w3', 'w4']) {
			host.answerPoll(id);
		}

		submitJobs(host, 9, 8);
		host.tick(300);
		expect(listPublished(host).length).toEqual(1);
	});

	/** Guards against: hosts cannot tell which jobs of an account over its rate are within its share. */
	it('tell the fraction of the jobs of an account over its rate that is within its share', () => {
		const host = createLeader();
		const account = 'a' as AccountName;
		host.state.load.arrivals.set(account, {
			total: 4, within: 1, newTotal: 4, newWithin: 1,
		});

		host.tick(300);
		expect(listPublished(host).at(-1)!.shares).toEqual([{account, within: 0.25}]);
	});
});
