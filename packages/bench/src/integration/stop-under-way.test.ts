/** A host that is being stopped answers the calls that it has read, and those that still reach it. */
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {sleep} from '@rhubarblever/stand-ins';
import {createJobId, EntryHosts} from './entry-hosts.js';

/** Added delay of each answer of the store. */
const slowStoreMs = 400;
/** Within the two readiness checks after which a balancer sends no more connections. */
const lateCallMs = 1300;
/** Time that a process is given to exit after SIGTERM. */
const graceMs = 6000;

describe('a host that is stopped', () => {
	let fleet: EntryHosts;

	before(async () => {
		fleet = await EntryHosts.start({hosts: 1, workers: 1, runMs: 300});
	});

	after(async () => {
		await fleet.close();
	});

	/** Guards against a stopping process that exits after a fixed time, and so leaves a request that it has read without an answer (incident class LOST). */
	it('answers a late call despite a slow store, and then exits in time', async () => {
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
