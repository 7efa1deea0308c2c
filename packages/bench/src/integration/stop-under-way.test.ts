/** A host that is stopped answers the calls that it has read, and those that still reach it. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {
	JobPlatform, ProcessGroup, sleep, standInQueue, standInTaskCpu, takeAddress, waitUntil,
} from '@rhubarblever/stand-ins';
import {request} from 'undici';
import {describeSettings, findEntryProgram} from './entry-program.js';

const startTimeoutMs = 30_000;
/** The store's answers come this much later. */
const slowStoreMs = 400;
/** Within the two looks at readiness that a balancer takes to send no more connections. */
const lateCallMs = 1300;
/** After SIGTERM a process is given this long. */
const graceMs = 6000;

describe('a host that is stopped', () => {
	const group = ProcessGroup.create();
	const folder = mkdtempSync(path.join(tmpdir(), 'rhubarblever-'));
	let platform: JobPlatform;

	before(async () => {
		platform = await JobPlatform.start({address: takeAddress(), workerAddresses: [takeAddress()], runMs: 300});
	});

	after(async () => {
		await group.endAll();
		await platform.close();
		rmSync(folder, {recursive: true});
	});

	/** Guards against: a request that a stopping process has read ends without an answer, as the process leaves after a fixed time (class of incident LOST). */
	it('answers a call that reaches it late, over a slow store, and then ends in time', async () => {
		const addresses = {front: takeAddress(), ready: takeAddress(), metrics: takeAddress()};
		const settingsPath = path.join(folder, 'front.json');
		writeFileSync(settingsPath, JSON.stringify(describeSettings(0, platform.address, addresses)));
		const host = group.start('front', findEntryProgram(), [], {RHUBARBLEVER_SETTINGS: settingsPath});
		await waitUntil('the host is ready', async () => {
			const answer = await request(`http://${addresses.ready}/v1/ready`);
			return answer.statusCode === 200;
		}, startTimeoutMs);

		platform.delayMs = slowStoreMs;
		const stoppedAt = performance.now();
		host.sendSignal('SIGTERM');
		await sleep(lateCallMs);
		const answer = await request(`http://${addresses.front}${standInQueue.pathPrefix}0000000000000001`, {
			method: 'POST', headers: {host: standInQueue.host, 'content-type': 'application/json'}, body: JSON.stringify({spec: '', steps: [{count: 1, cpu: standInTaskCpu}]}),
		});
		expect([200, 503].includes(answer.statusCode)).toEqual(true);
		await answer.body.dump();
		const end = await host.waitForEnd();
		expect(end.code).toEqual(0);
		expect(performance.now() - stoppedAt < graceMs).toEqual(true);
	});
});
