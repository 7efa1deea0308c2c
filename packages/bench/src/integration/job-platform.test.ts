/** The entry hosts' program on the stand-in of the users' platform: jobs run once through kills, stops and an outage of the store. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {
	JobPlatform, ProcessGroup, sleep, standInQueue, standInTaskCpu, takeAddress, waitUntil, type RunningProcess,
} from '@rhubarblever/stand-ins';
import {request} from 'undici';
import {describeSettings, findEntryProgram, type EntryAddresses} from './entry-program.js';

const hostCount = 3;
const workerCount = 3;
const startTimeoutMs = 30_000;
const jobTimeoutMs = 30_000;
const tasksPerStep = 4;

type EntryHost = EntryAddresses & {readonly settingsPath: string; process: RunningProcess};

describe('the program on the users\' platform', () => {
	const group = ProcessGroup.create();
	const folder = mkdtempSync(path.join(tmpdir(), 'rhubarblever-'));
	const hosts: EntryHost[] = [];
	let platform: JobPlatform;
	let nextJob = 1;

	function startProgram(index: number, settingsPath: string): RunningProcess {
		return group.start(`front-${index}`, findEntryProgram(), [], {RHUBARBLEVER_SETTINGS: settingsPath});
	}

	before(async () => {
		const address = takeAddress();
		platform = await JobPlatform.start({address, workerAddresses: Array.from({length: workerCount}, () => takeAddress()), runMs: 300});
		for (let index = 0; index < hostCount; index++) {
			const addresses = {front: takeAddress(), ready: takeAddress(), metrics: takeAddress()};
			const settingsPath = path.join(folder, `front-${index}.json`);
			writeFileSync(settingsPath, JSON.stringify(describeSettings(index, address, addresses)));
			hosts.push({...addresses, settingsPath, process: startProgram(index, settingsPath)});
		}

		await Promise.all(hosts.map(async host => waitUntil('the host is ready', async () => isReady(host), startTimeoutMs)));
	});

	after(async () => {
		await group.endAll();
		await platform.close();
		rmSync(folder, {recursive: true});
	});

	async function callJob(host: EntryHost, method: 'POST' | 'GET' | 'DELETE', id: string): Promise<{status: number; state?: string}> {
		const body = {
			spec: 'plan', steps: [{
				count: tasksPerStep, cpu: standInTaskCpu, 'mem-mb': 10, 'estimate-ms': 300,
			}, {
				count: 2, cpu: standInTaskCpu, 'mem-mb': 10, 'estimate-ms': 300, 'depends-on': [0],
			}],
		};
		const answer = await request(`http://${host.front}${standInQueue.pathPrefix}${id}`, {
			method, headers: {host: standInQueue.host, 'content-type': 'application/json'}, ...(method === 'POST' && {body: JSON.stringify(body)}),
		});
		return {status: answer.statusCode, ...await answer.body.json() as {state?: string}};
	}

	async function isReady(host: EntryHost): Promise<boolean> {
		const answer = await request(`http://${host.ready}/v1/ready`);
		return answer.statusCode === 200;
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

	function expectOnce(id: string): void {
		const done = platform.workers.flatMap(worker => [...worker.done]).filter(([task]) => task.startsWith(id));
		expect(done.map(([, times]) => times)).toEqual(Array.from({length: tasksPerStep + 2}, () => 1));
		expect(platform.workers.reduce((sum, worker) => sum + worker.overRoom, 0)).toEqual(0);
	}

	async function findLeader(): Promise<EntryHost | undefined> {
		for (const host of hosts) {
			// eslint-disable-next-line no-await-in-loop
			const text = await request(`http://${host.metrics}/metrics`).then(async answer => answer.body.text()).catch(() => '');
			if (/^rhubarblever_leads 1$/m.test(text)) {
				return host;
			}
		}

		return undefined;
	}

	it('runs a job and tells of its state at every host', async () => {
		const id = await submitJob(hosts[1]!);
		await waitForState(id, 'completed');
		expectOnce(id);
		const missing = await callJob(hosts[2]!, 'GET', 'ffffffffffffffff');
		const nowhere = await request(`http://${hosts[0]!.front}/nowhere/`);
		expect([missing.status, nowhere.statusCode]).toEqual([410, 404]);
	});

	it('finishes jobs, each task done once, when the leader is killed', async () => {
		const leader = (await findLeader())!;
		const other = hosts.find(host => host !== leader)!;
		const ids = [await submitJob(other), await submitJob(other)];
		await sleep(150);
		leader.process.sendSignal('SIGKILL');
		await leader.process.waitForEnd();
		leader.process = startProgram(hosts.indexOf(leader), leader.settingsPath);
		for (const id of ids) {
			// eslint-disable-next-line no-await-in-loop
			await waitUntil(`${id} is completed`, async () => await getState(other, id) === 'completed', jobTimeoutMs);
			expectOnce(id);
		}
	});

	it('hands the lead over at SIGTERM and ends with code 0', async () => {
		await waitUntil('a host leads', async () => await findLeader() !== undefined, startTimeoutMs);
		const leader = (await findLeader())!;
		leader.process.sendSignal('SIGTERM');
		const {code} = await leader.process.waitForEnd();
		expect(code).toEqual(0);
		expect(leader.process.output).toEqual(expect.includes('lead-released'));
		leader.process = startProgram(hosts.indexOf(leader), leader.settingsPath);
		await waitUntil('the host is ready', async () => isReady(leader), startTimeoutMs);
	});

	it('refuses jobs while the store is down, and takes them after it', async () => {
		platform.isDown = true;
		const {status} = await callJob(hosts[0]!, 'POST', (nextJob++).toString(16).padStart(16, '0'));
		platform.isDown = false;
		expect(status >= 503).toEqual(true);
		await waitUntil('the host is ready', async () => isReady(hosts[0]!), startTimeoutMs);
		const id = await submitJob(hosts[0]!);
		await waitForState(id, 'completed');
		expectOnce(id);
	});

	it('says what is wrong with its settings, and ends with code 78', async () => {
		const settingsPath = path.join(folder, 'bad.json');
		writeFileSync(settingsPath, JSON.stringify({zone: 'a'}));
		const running = startProgram(9, settingsPath);
		const {code} = await running.waitForEnd();
		expect(code).toEqual(78);
		expect(running.output.includes('node-name')).toEqual(true);
	});
});
