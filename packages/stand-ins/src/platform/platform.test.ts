/** The platform test double over HTTP. */
import {request} from 'node:http';
import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {listedHostSchema} from '@rhubarblever/core';
import {expect} from 'earl';
import {takeAddress} from '../harness/addresses.js';
import {sleep, waitUntil} from '../harness/process-group.js';
import {callJson} from '../http-client.js';
import type {PlatformLedgerEntry} from './ledger.js';
import {PlatformServer} from './platform-server.js';
import type {TaskReport, WorkerReport} from './workers.js';

const timeoutMs = 10_000;
const hourMs = 3_600_000;

function createWorkers(count: number) {
	return Array.from({length: count}, (_, index) => listedHostSchema.parse({
		hostId: `worker-${index + 1}`,
		role: 'worker',
		availabilityZone: 'ee-south-a',
		rack: `rack-${Math.floor(index / 4) + 1}`,
		address: '127.0.0.1:9',
		pool: 'trucks',
		state: 'live',
		cores: 64,
		memoryBytes: 1000,
	}));
}

describe('the platform test double', () => {
	let url: string;
	let server: PlatformServer;

	const call = async (method: string, path: string, body?: unknown) => callJson(method, url + path, body);
	const setFaults = async (patch: unknown) => call('PUT', '/v1/control/faults', patch);
	const readPage = async (from: number) => await call('GET', `/v1/streams/fleet/records?from=${from}`) as {
		records: Array<{offset: number}>; firstOffset: number; nextOffset: number;
	};
	const listWorkers = async () => {
		const {workers} = await call('GET', '/v1/workers') as {workers: WorkerReport[]};
		return workers;
	};

	const findTask = async (taskId: string) => {
		const {tasks} = await call('GET', '/v1/tasks') as {tasks: TaskReport[]};
		return tasks.find(task => task.taskId === taskId);
	};

	const listEvents = async (hostId: string) => {
		const {entries} = await call('GET', '/v1/control/ledger') as {entries: PlatformLedgerEntry[]};
		return entries.filter(entry => entry.hostId === hostId).map(entry => entry.event);
	};

	const operate = async (hostId: string, operation: {operationId: string; kind: string; pool?: string; deadline?: number}) =>
		await call('POST', `/v1/workers/${hostId}/operations`, {deadline: Date.now() + hourMs, ...operation}) as {state: string};
	const waitForOperation = async (operationId: string, state: string) => waitUntil(`${operationId} is ${state}`, async () => {
		const operation = await call('GET', `/v1/operations/${operationId}`) as {state: string};
		return operation.state === state;
	}, timeoutMs);
	const startTask = async (hostId: string, taskId: string, changes: Record<string, unknown> = {}) => call('POST', `/v1/workers/${hostId}/tasks`, {
		taskId, attempt: 1, leaseUntil: Date.now() + hourMs, cores: 1, memoryBytes: 10, runMs: hourMs, ...changes,
	});

	const waitForTask = async (taskId: string, state: string) => waitUntil(`${taskId} is ${state}`, async () => {
		const task = await findTask(taskId);
		return task?.state === state;
	}, timeoutMs);

	before(async () => {
		const address = takeAddress();
		url = `http://${address}`;
		server = await PlatformServer.create({address, hosts: createWorkers(12)});
	});

	after(() => {
		server.close();
	});

	beforeEach(async () => {
		await setFaults({
			outageUntil: null, outageKind: null, slowMs: null, loseAnswers: null, retention: null, staleLogOffset: null, hostListLagMs: null, reportLagMs: null, rebootMs: 20,
		});
	});

	it('retains the configured number of records and answers a read before them with the oldest retained records', async () => {
		await call('POST', '/v1/streams/fleet/records', {records: ['a', 'b', 'c', 'd']});
		await setFaults({retention: {maxRecords: 2}});
		const page = await readPage(0);
		expect(page.records.map(record => record.offset)).toEqual([2, 3]);
		expect(page.firstOffset).toEqual(2);
		expect(page.nextOffset).toEqual(4);
	});

	it('deletes the records of one stream before an offset, and no others', async () => {
		await call('POST', '/v1/streams/fleet/records', {records: ['f', 'g', 'h']});
		await call('POST', '/v1/streams/snapshots/records', {records: ['s']});
		const {nextOffset} = await readPage(0);
		await call('POST', '/v1/control/streams/fleet', {expireBefore: nextOffset - 2});
		const page = await readPage(0);
		expect(page.records.map(record => record.offset)).toEqual([nextOffset - 2, nextOffset - 1]);
		expect([page.firstOffset, page.nextOffset]).toEqual([nextOffset - 2, nextOffset]);
		const snapshots = await call('GET', '/v1/streams/snapshots/records') as {firstOffset: number; records: unknown[]};
		expect([snapshots.firstOffset, snapshots.records.length]).toEqual([0, 1]);
		await expect(call('POST', '/v1/control/streams/fleet', {expireBefore: -1})).toBeRejectedWith('answered 400');
	});

	it('loses the answer after the append took effect', async () => {
		const {nextOffset} = await readPage(0);
		await setFaults({loseAnswers: {probability: 1, seed: 7}});
		await expect(call('POST', '/v1/streams/fleet/records', {records: ['e']})).toBeRejected();
		await setFaults({loseAnswers: null});
		const after = await readPage(0);
		expect(after.nextOffset).toEqual(nextOffset + 1);
	});

	it('answers log reads with stale data', async () => {
		await setFaults({staleLogOffset: 1});
		const page = await readPage(0);
		expect(page.nextOffset).toEqual(1);
	});

	it('has an outage until an instant, and serves control calls meanwhile', async () => {
		await setFaults({outageUntil: Date.now() + hourMs});
		await expect(listWorkers()).toBeRejected();
		await setFaults({outageUntil: null});
		expect(await listWorkers()).toHaveLength(12);
	});

	it('rejects invalid input with status 400 and the reason', async () => {
		await expect(call('POST', '/v1/streams/fleet/records', {records: []})).toBeRejectedWith('answered 400');
		await expect(call('PUT', '/v1/control/faults', {slowMs: 'long'})).toBeRejectedWith('slowMs');
		await expect(operate('worker-1', {operationId: 'bad', kind: 'explode'})).toBeRejectedWith('kind');
		const response = await fetch(`${url}/v1/streams/fleet/records`, {method: 'POST', body: '{'});
		expect(response.status).toEqual(400);
	});

	it('rejects a request target that is not a valid URL, and continues to serve', async () => {
		const {hostname, port} = new URL(url);
		const status = await new Promise<number | undefined>((resolve, reject) => {
			request({host: hostname, port, path: '//'}, response => {
				response.resume();
				resolve(response.statusCode);
			}).on('error', reject).end();
		});
		expect(status).toEqual(400);
		expect(await listWorkers()).toHaveLength(12);
	});

	it('drains a worker once its tasks have ended, sets its pool, reboots it and lets it accept tasks again; each operation is idempotent', async () => {
		await startTask('worker-1', 'short', {runMs: 100});
		const drain = {operationId: 'drain-1', kind: 'drain', deadline: Date.now() + hourMs};
		const first = await operate('worker-1', drain);
		expect(first.state).toEqual('running');
		await operate('worker-1', drain);
		await waitForOperation('drain-1', 'done');
		await operate('worker-1', {operationId: 'pool-1', kind: 'set-pool', pool: 'spare'});
		await operate('worker-1', {operationId: 'reboot-1', kind: 'reboot'});
		await waitForOperation('reboot-1', 'done');
		await operate('worker-1', {operationId: 'undrain-1', kind: 'undrain'});
		expect(await listEvents('worker-1')).toEqual([
			'worker-added', 'task-started', 'drain-started', 'task-succeeded', 'drained', 'pool-set', 'reboot-started', 'rebooted', 'undrained',
		]);
		const workers = await listWorkers();
		expect(workers.find(worker => worker.hostId === 'worker-1')?.pool).toEqual('spare');
		await expect(operate('worker-2', {...drain})).toBeRejectedWith('answered 409');
	});

	it('fails a drain past its deadline and ends no task', async () => {
		await startTask('worker-2', 'endless');
		await operate('worker-2', {operationId: 'drain-2', kind: 'drain', deadline: Date.now() + 100});
		await waitForOperation('drain-2', 'failed');
		const task = await findTask('endless');
		expect(task?.state).toEqual('running');
	});

	it('fails set-pool on a worker that is not drained', async () => {
		const operation = await operate('worker-3', {operationId: 'pool-3', kind: 'set-pool', pool: 'spare'});
		expect(operation.state).toEqual('failed');
	});

	it('stops a task whose lease expired, unless it was renewed', async () => {
		await startTask('worker-4', 'renewed', {leaseUntil: Date.now() + 150});
		await startTask('worker-4', 'lapsing', {leaseUntil: Date.now() + 150});
		await call('POST', '/v1/tasks/renewed/renew', {leaseUntil: Date.now() + hourMs});
		await waitForTask('lapsing', 'lapsed');
		const renewed = await findTask('renewed');
		expect(renewed?.state).toEqual('running');
	});

	it('checkpoints, throttles and stops tasks, and reports usage', async () => {
		await startTask('worker-5', 'large', {trueCores: 8});
		await call('POST', '/v1/tasks/large/throttle', {share: 0.5});
		await sleep(100);
		await call('POST', '/v1/tasks/large/checkpoint', {});
		const throttled = await findTask('large');
		expect(throttled?.usage.cores).toEqual(4);
		expect(throttled?.checkpointMs ?? 0).toBeGreaterThan(0);
		await call('POST', '/v1/tasks/large/stop', {});
		await waitForTask('large', 'stopped');
		await expect(call('POST', '/v1/tasks/unknown/stop', {})).toBeRejectedWith('answered 404');
	});

	it('ends the most recently started task if memory runs out', async () => {
		await startTask('worker-6', 'first', {trueMemoryBytes: 600});
		await startTask('worker-6', 'second', {trueMemoryBytes: 600});
		await waitForTask('second', 'failed');
		const first = await findTask('first');
		expect(first?.state).toEqual('running');
	});

	it('fails and recovers the workers of a rack, and makes workers fail their tasks', async () => {
		await startTask('worker-9', 'lost');
		await call('POST', '/v1/control/racks/rack-3', {change: 'fail'});
		await waitForTask('lost', 'lost');
		const workers = await listWorkers();
		expect(workers.filter(worker => worker.state === 'down')).toHaveLength(4);
		await call('POST', '/v1/control/racks/rack-3', {change: 'heal'});
		await call('POST', '/v1/control/workers/worker-10', {change: 'fail-tasks'});
		await startTask('worker-10', 'doomed');
		await waitForTask('doomed', 'failed');
	});

	it('reports workers and the host list with a lag', async () => {
		await sleep(300);
		await setFaults({reportLagMs: hourMs, hostListLagMs: hourMs});
		await call('POST', '/v1/control/workers/worker-7', {change: 'fail'});
		const early = await listWorkers();
		expect(early.find(worker => worker.hostId === 'worker-7')?.state).toEqual('up');
		await setFaults({reportLagMs: 200, hostListLagMs: 200});
		await waitUntil('the failure shows', async () => {
			const workers = await listWorkers();
			return workers.find(worker => worker.hostId === 'worker-7')?.state === 'down';
		}, timeoutMs);
	});
});
