/** A backlog of jobs that have waited for so long that they are of no use any more. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../types/time.js';
import {createJob, createStep, modelConfig} from './testing/model-fleet.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';
import type {FleetConfig, PoolName, QueueName} from './types.js';

const other = 'other' as PoolName;
const otherQueue = 'other' as QueueName;
const [queue] = modelConfig.queues;
const [pool] = modelConfig.pools;
const config: FleetConfig = {
	version: 2,
	queues: [queue!, {
		...queue!, name: otherQueue, pool: other, pathPrefix: '/other/',
	}],
	pools: [pool!, {...pool!, name: other}, {...pool!, name: sparePoolName, isSpare: true}],
};
/** Longer than a new leader leaves machines alone. */
const settledMs = 10_000;
const ids = ['1', '2', '3'];
const tasksThatFillAll = 24;
const taskNeed = {cpu: 1000, memoryMb: 100, gpu: 0};

/** A leader of three machines, all of them filled by the tasks of a job that was sent long ago. */
function createBackloggedLeader(): ModelLeader {
	const leader = ModelLeader.create();
	leader.push({type: 'config/read', config});
	leader.run(50);
	leader.listMachines(ids.map(id => createMachineEntry(`m${id}`, {workerId: `w${id}`})));
	leader.listWorkers(...ids.map(id => createWorkerEntry(`w${id}`, `m${id}`)));
	leader.run(settledMs);
	const sentAt = (leader.state.wallNow - 20_000) as Instant;
	leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [createStep({count: tasksThatFillAll, need: taskNeed})], {sentAt})}]});
	leader.run(500);
	return leader;
}

function countRuns({running}: ModelLeader): number {
	return [...running.values()].reduce((sum, rows) => sum + rows.length, 0);
}

/** All runs disappear, so that their tasks wait again. */
function endRuns({running}: ModelLeader): void {
	for (const id of running.keys()) {
		running.set(id, []);
	}
}

describe('tasks of jobs that are of no use any more', () => {
	it('run where nothing else is to run', () => {
		const leader = createBackloggedLeader();
		expect(countRuns(leader)).toEqual(tasksThatFillAll);
	});

	/** Guards against a backlog that grows from one burst to the next: each pool keeps its machines for what is too late, so that the jobs of the next burst, in another pool, are late too. */
	it('leave machines of their pool to another one that lacks some, and run on those that the pool keeps', () => {
		const leader = createBackloggedLeader();
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(2, [createStep({count: 32, need: taskNeed, estimateMs: 3000})], {queue: otherQueue, pool: other})}]});
		leader.run(200);
		endRuns(leader);
		leader.run(2000);
		expect(leader.orders.map(order => order.type === 'machine/move' && order.pool)).toEqual([other]);
		expect(countRuns(leader)).toBeGreaterThan(0);
	});

	/** Guards against work that waits although its pool has idle machines, which cannot be moved for the time being. */
	it('run on machines that cannot be moved although another pool lacks some', () => {
		const leader = createBackloggedLeader();
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(2, [createStep({count: 32, need: taskNeed, estimateMs: 3000})], {queue: otherQueue, pool: other})}]});
		leader.run(200);
		for (const machine of leader.state.machines.values()) {
			machine.drainingForWave = 7;
		}

		endRuns(leader);
		leader.run(1000);
		expect(countRuns(leader)).toEqual(tasksThatFillAll);
	});
});
