/** Jobs that use 10 times the cores, memory and run time that they declare are throttled or stopped, lowest class first; other jobs are unaffected. */
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil, type LocalFleet, type PlatformLedgerEntry} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {listRunsOf} from './platform-ledger.js';
import {
	createJob, createWorkers, waitLimitMs, startWorkerFleet, waitForEnds, waitForStep,
} from './worker-fleet.js';

type ListedTask = {
	readonly taskId: string;
	readonly state: string;
	readonly throttle: number;
	readonly usage: {readonly cores: number; readonly memoryBytes: number};
};

const workerCores = 32;
const gigabyte = 1e9;
const accurateIds = ['overlay-1', 'overlay-2', 'overlay-3'];
const cpuHeavyIds = ['rebuild-batch', 'rebuild-normal'];
const memoryHeavyIds = ['archive-batch', 'archive-normal'];

let fleet: LocalFleet;

async function listRunningTasks(): Promise<readonly ListedTask[]> {
	const {tasks} = await fleet.callPlatform('GET', '/v1/tasks') as {readonly tasks: readonly ListedTask[]};
	return tasks.filter(task => task.state === 'running');
}

function listTasksOf(ledger: readonly PlatformLedgerEntry[], event: string): string[] {
	return [...new Set(ledger.filter(entry => entry.event === event).map(entry => entry.taskId ?? ''))];
}

describe('jobs that declare 10 times too little', () => {
	before(async () => {
		fleet = await startWorkerFleet(createWorkers(1, workerCores));
		await fleet.callPlatform('PUT', '/v1/control/faults', {
			reportLagMs: 200,
			taskTruths: [
				{taskIdPrefix: 'rebuild-', trueCores: 20, runMs: 3000},
				{taskIdPrefix: 'archive-', trueMemoryBytes: 20 * gigabyte, runMs: 5000},
			],
		});
	});

	after(async () => {
		await fleet.stop();
	});

	it('are throttled, lowest class first and never below what they declare, and get their cores back', async () => {
		await fleet.publish(accurateIds.map(jobId => createJob(jobId, {cores: 4, declaredRunMs: 5000})));
		await waitForStep(fleet, accurateIds, 'running');
		await fleet.publish(cpuHeavyIds.map(jobId => createJob(jobId, {cores: 2, declaredRunMs: 300, jobClass: jobId.split('-')[1]})));
		let tasks: readonly ListedTask[] = [];
		await waitUntil('the tasks use no more cores than the worker has', async () => {
			tasks = await listRunningTasks();
			const cores = tasks.reduce((sum, task) => sum + task.usage.cores, 0);
			return tasks.length === accurateIds.length + cpuHeavyIds.length && cores <= workerCores;
		}, waitLimitMs);
		const shares = new Map(tasks.map(task => [task.taskId, task.throttle]));
		expect(accurateIds.map(jobId => shares.get(jobId))).toEqual([1, 1, 1]);
		expect(shares.get('rebuild-batch')).toEqual(0.1);
		expect(shares.get('rebuild-normal') ?? 0).toBeGreaterThan(0.8);
		await waitForEnds(fleet, accurateIds);
		await waitUntil('the throttled task has its cores back', async () => {
			const left = await listRunningTasks();
			return left.every(task => task.throttle > 0.5);
		}, waitLimitMs);
		await waitForStep(fleet, [...accurateIds, ...cpuHeavyIds], 'succeeded');
		const ledger = await fleet.readPlatformLedger();
		expect(listTasksOf(ledger, 'task-throttled').toSorted()).toEqual(cpuHeavyIds);
		expect(ledger.filter(entry => entry.event === 'task-started').length).toEqual(accurateIds.length + cpuHeavyIds.length);
	});

	it('are checkpointed and stopped before the worker\'s memory is full, lowest class first, and resume once they fit', async () => {
		const before = await fleet.readPlatformLedger();
		const ids = accurateIds.map(jobId => `${jobId}-again`);
		await fleet.publish([
			...ids.map(jobId => createJob(jobId, {memoryBytes: 27 * gigabyte, declaredRunMs: 5000})),
			...memoryHeavyIds.map(jobId => createJob(jobId, {
				memoryBytes: 2 * gigabyte, declaredRunMs: 500, isResumable: true, jobClass: jobId.split('-')[1],
			})),
		]);
		await waitForStep(fleet, [...ids, ...memoryHeavyIds], 'succeeded');
		const ledger = await fleet.readPlatformLedger();
		const since = ledger.slice(before.length);
		expect(listTasksOf(since, 'task-out-of-memory')).toEqual([]);
		expect(listTasksOf(since, 'task-checkpointed')).toEqual(['archive-batch']);
		expect(listTasksOf(since, 'task-stopped')).toEqual(['archive-batch']);
		expect(listRunsOf(since, 'archive-batch').map(run => run.end)).toEqual(['task-stopped', 'task-succeeded']);
		for (const jobId of [...ids, 'archive-normal']) {
			expect(listRunsOf(since, jobId).map(run => run.end)).toEqual(['task-succeeded']);
		}
	});
});
