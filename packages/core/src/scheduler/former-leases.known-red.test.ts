/** TWICE: places that forget that calls meant for a worker's former process may have given the present one the longest lease. KNOWN-RED.txt describes each. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	tickMs, longestLeaseMs, job, createLeader, answerAsNextProcess, waitForStartElsewhere,
} from './testing/former-process.js';
import {listStarts} from './testing/hand-driven.js';

describe('a process that may hold a lease meant for a former one', () => {
	/** Guards against two runs if a start is carried out seconds late: its run may go on for the longest lease after that. */
	it('keeps a run that a late start has begun for the longest lease', () => {
		const host = createLeader();
		const [start] = listStarts([...host.submit(job), ...host.tick(tickMs)]);
		host.tick(400);
		host.answerStart(start!, 'unknown');
		answerAsNextProcess(host, 1);
		const sentAgoMs = 6000;
		const carriedOutAt = host.now + sentAgoMs;
		expect(waitForStartElsewhere(host, 2, start!.task) - carriedOutAt).toBeGreaterThanOrEqual(longestLeaseMs);
	});
});
