/** A host that becomes the leader before it has read all jobs. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createProgress, createRow, createWorker, HandDrivenHost, listLogEvents,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {SchedulerEffect} from './effects.js';

const job = createJob(1, [createStep({count: 1})]);
const firstTask = `${job.jobId}.0.0.0`;
/** Longer than an intake read takes; leases granted by an earlier leader have not expired yet. */
const longMs = 2000;
/** A leader that cannot poll gives up before this. */
const tooLongMs = 6000;
const stepMs = 100;
/** Longer than the delay of a claim when there is no leader. */
const claimMs = 1500;

function hasPoll(effects: readonly SchedulerEffect[]): boolean {
	return effects.some(({type}) => type === 'worker/poll');
}

/** A leader that has read the stored progress of a job, but not the job itself. */
function createLeader(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership([createProgress(0, job, [createRow()])]);
	host.dispatch({type: 'workers/listed', workers: [createWorker('w1')], isReloaded: true});
	return host;
}

describe('a leader that has not read all jobs', () => {
	/** Guards against: after some seconds the run ends of an unread job are acknowledged as those of unknown runs, and its tasks run again. */
	it('polls no worker before it has read all jobs', () => {
		const host = createLeader();
		expect(hasPoll(host.tick(longMs))).toEqual(false);
		const after = host.dispatch({type: 'intake/read', records: [{type: 'job', job}], completeAt: host.now - 10});
		expect(hasPoll(after)).toEqual(true);
		expect([...host.state.workers.get('w1')!.tasks.keys()]).toEqual([firstTask]);
	});

	/** Guards against: a host that cannot read the jobs remains the leader, and all worker leases expire. */
	it('gives up leadership when the jobs cannot be read, so that another host can claim it', () => {
		const host = createLeader();
		expect(hasPoll(host.tick(tooLongMs))).toEqual(false);
		expect(host.state.leadership.role).toEqual('follower');
		expect(listLogEvents(host.effects).includes('lead-lost')).toEqual(true);
	});

	/** Guards against: such a host claims leadership again at once, before any other host does. */
	it('does not claim leadership again for a while after it gave it up', () => {
		const host = createLeader();
		const isLeading = () => host.state.leadership.role === 'leader';
		for (let waitedMs = 0; isLeading() && waitedMs < tooLongMs; waitedMs += stepMs) {
			host.tick(stepMs);
		}

		host.dispatch({type: 'ledger/loaded', entries: [], nextOffset: 2});
		expect(host.tick(claimMs).filter(({type}) => type === 'ledger/claim')).toEqual([]);
	});

	/** Guards against: an intake read from before the term is taken to cover all jobs that an earlier leader may have started. */
	it('does not count an intake read that was sent before its term began', () => {
		const host = createLeader();
		const {leaderSince} = host.state.leadership;
		expect(hasPoll(host.dispatch({type: 'intake/read', records: [], completeAt: leaderSince - 10}))).toEqual(false);
		expect(hasPoll(host.tick(longMs))).toEqual(false);
	});

	/** Guards against: the stored progress of a removed job keeps every new leader from polling. */
	it('treats a job that a complete intake read lacks as removed', () => {
		const host = createLeader();
		host.tick();
		expect(hasPoll(host.dispatch({type: 'intake/read', records: [], completeAt: host.now}))).toEqual(true);
	});
});
