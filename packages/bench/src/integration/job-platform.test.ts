/** The entry host program on the stand-in of the users' platform: each task runs once despite kills, stops and an outage of the store. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {
	sleep, waitUntil, type JobPlatform,
} from '@rhubarblever/stand-ins';
import {request} from 'undici';
import {
	EntryHosts, startTimeoutMs, type EntryHost, type JobCall,
} from './entry-hosts.js';

const hostCount = 3;
const workerCount = 3;
const jobTimeoutMs = 30_000;
const tasksPerStep = 4;
const unavailableStatus = 503;

describe('the program on the users\' platform', () => {
	let fleet: EntryHosts;
	let hosts: EntryHost[];
	let platform: JobPlatform;
	let nextJob = 1;

	before(async () => {
		fleet = await EntryHosts.start({hosts: hostCount, workers: workerCount, runMs: 300});
		({hosts, platform} = fleet);
	});

	after(async () => {
		await fleet.close();
	});

	async function callJob(host: EntryHost, method: 'POST' | 'GET' | 'DELETE', id: string): Promise<JobCall> {
		return fleet.callJob(host, method, id, [tasksPerStep, 2]);
	}

	async function getState(host: EntryHost, id: string): Promise<string | undefined> {
		const {state} = await callJob(host, 'GET', id);
		return state;
	}

	async function submitJob(host: EntryHost): Promise<string> {
		const id = (nextJob++).toString(16).padStart(16, '0');
		const {status} = await callJob(host, 'POST', id);
		expect(status).toEqual(200);
		return id;
	}

	async function waitForState(id: string, state: string): Promise<void> {
		await waitUntil(`${id} is ${state}`, async () => await getState(hosts[0]!, id) === state, jobTimeoutMs);
	}

	function expectEachTaskOnce(id: string): void {
		const done = platform.workers.flatMap(worker => [...worker.completionCounts]).filter(([task]) => task.startsWith(id));
		expect(done.map(([, times]) => times)).toEqual(Array.from({length: tasksPerStep + 2}, () => 1));
		expect(platform.workers.reduce((sum, worker) => sum + worker.overCapacityStarts, 0)).toEqual(0);
	}

	/** Repeats a call while the host answers 503: a host that has not read the store's streams recently, as on a busy machine, does so rather than deny that something exists. */
	async function callUntilAvailable(call: () => Promise<number>): Promise<number> {
		let status = await call();
		await waitUntil('the host has an up-to-date view', async () => {
			status = status === unavailableStatus ? await call() : status;
			return status !== unavailableStatus;
		}, startTimeoutMs);
		return status;
	}

	it('runs a job and shows its state at every host', async () => {
		const id = await submitJob(hosts[1]!);
		await waitForState(id, 'completed');
		expectEachTaskOnce(id);
		const unknownJob = await callUntilAvailable(async () => {
			const {status} = await callJob(hosts[2]!, 'GET', 'ffffffffffffffff');
			return status;
		});
		const unknownPath = await callUntilAvailable(async () => {
			const answer = await request(`http://${hosts[0]!.front}/nowhere/`);
			await answer.body.dump();
			return answer.statusCode;
		});
		expect([unknownJob, unknownPath]).toEqual([410, 404]);
	});

	it('completes jobs, with each task done once, when the leader is killed', async () => {
		const leader = (await fleet.findLeader())!;
		const other = hosts.find(host => host !== leader)!;
		const ids = [await submitJob(other), await submitJob(other)];
		await sleep(150);
		leader.process.sendSignal('SIGKILL');
		await leader.process.waitForEnd();
		fleet.restartHost(leader);
		for (const id of ids) {
			// eslint-disable-next-line no-await-in-loop
			await waitUntil(`${id} is completed`, async () => await getState(other, id) === 'completed', jobTimeoutMs);
			expectEachTaskOnce(id);
		}
	});

	it('releases leadership on SIGTERM and exits with code 0', async () => {
		await waitUntil('a host leads', async () => await fleet.findLeader() !== undefined, startTimeoutMs);
		const leader = (await fleet.findLeader())!;
		leader.process.sendSignal('SIGTERM');
		const {code} = await leader.process.waitForEnd();
		expect(code).toEqual(0);
		expect(leader.process.output).toEqual(expect.includes('lead-released'));
		fleet.restartHost(leader);
		await waitUntil('the host is ready', async () => fleet.isReady(leader), startTimeoutMs);
	});

	it('refuses jobs while the store is down, and accepts them afterwards', async () => {
		platform.isDown = true;
		const {status} = await callJob(hosts[0]!, 'POST', (nextJob++).toString(16).padStart(16, '0'));
		platform.isDown = false;
		expect(status >= 503).toEqual(true);
		await waitUntil('the host is ready', async () => fleet.isReady(hosts[0]!), startTimeoutMs);
		const id = await submitJob(hosts[0]!);
		await waitForState(id, 'completed');
		expectEachTaskOnce(id);
	});

	it('reports what is wrong with its settings, and exits with code 78', async () => {
		const settingsPath = path.join(fleet.folder, 'bad.json');
		writeFileSync(settingsPath, JSON.stringify({zone: 'a'}));
		const running = fleet.startProgram(9, settingsPath);
		const {code} = await running.waitForEnd();
		expect(code).toEqual(78);
		expect(running.output.includes('node-name')).toEqual(true);
	});
});
