/** Starts of a leader whose workers all take their time to answer, although its own link and processor are free. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createWorker, HandDrivenHost, listStarts,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';

const answerMs = 120;
const watchedMs = 3000;
const startsPerSecond = 900;

describe('a leader whose workers all answer late', () => {
	/** Guards against a bound on starts that takes slow answers for a host that sends too much. */
	it('goes on starting as many tasks as it could send', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership([], createConfig());
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {capacity: {cpu: 64_000_000, memoryMb: 256_000_000, gpu: 0}})], isReloaded: true});
		host.now++;
		host.answerPoll('w1');
		host.now += 20;
		let unanswered = listStarts(host.submit(createJob(1, [createStep({count: 4000})])));
		let sent = unanswered.length;
		for (const end = host.now + watchedMs; host.now < end;) {
			host.now += answerMs;
			unanswered = unanswered.flatMap(start => listStarts(host.answerStart(start)));
			sent += unanswered.length;
		}

		expect(sent).toBeGreaterThan(startsPerSecond * watchedMs / 1000);
	});
});
