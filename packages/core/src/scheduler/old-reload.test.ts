/** Reloads of the registry that are older than what was read before. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createWorker, HandDrivenHost} from './testing/hand-driven.js';
import type {WorkerEntry} from './types.js';

const graceMs = 10_000;

describe('a worker that a reload of the registry lacks', () => {
	/** Guards against a sound worker that gets no work until its next report, because the reload that lists it again is an older one. */
	it('stays listed if an older reload has it', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		const list = (...workers: readonly WorkerEntry[]) => {
			host.dispatch({type: 'workers/listed', workers, isReloaded: true});
		};

		list(createWorker('w1', {sequence: 5}));
		host.now++;
		host.answerPoll('w1');
		list();
		host.now++;
		list(createWorker('w1', {sequence: 4}));
		host.tick(graceMs);
		expect(host.state.workers.get('w1')?.isListed).toEqual(true);
	});
});
