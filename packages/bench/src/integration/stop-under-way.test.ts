/** A host that is stopped answers the calls that it has read, and those that still reach it. */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sleep} from '@rhubarblever/stand-ins';
import {createJobId, EntryHosts} from './entry-hosts.js';

/** The store's answers come this much later. */
const slowStoreMs = 400;
/** Within the two looks at readiness that a balancer takes to send no more connections. */
const lateCallMs = 1300;
/** After SIGTERM a process is given this long. */
const graceMs = 6000;

describe('a host that is stopped', () => {
	let fleet: EntryHosts;

	before(async () => {
		fleet = await EntryHosts.start({hosts: 1, workers: 1, runMs: 300});
	});

	after(async () => {
		await fleet.close();
	});

	/** Guards against: a request that a stopping process has read ends without an answer, as the process leaves after a fixed time (class of incident LOST). */
	it('answers a call that reaches it late, over a slow store, and then ends in time', async () => {
		const host = fleet.hosts[0]!;
		fleet.platform.delayMs = slowStoreMs;
		const stoppedAt = performance.now();
		host.process.sendSignal('SIGTERM');
		await sleep(lateCallMs);
		const {status} = await fleet.callJob(host, 'POST', createJobId(1));
		expect([200, 503].includes(status)).toEqual(true);
		const {code} = await host.process.waitForEnd();
		expect(code).toEqual(0);
		expect(performance.now() - stoppedAt < graceMs).toEqual(true);
	});
});
