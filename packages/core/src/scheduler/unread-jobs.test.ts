/** A host that takes the lead before it has read all jobs. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createProgress, createRow, createWorker, HandDrivenHost, listLogEvents,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {SchedulerEffect} from './effects.js';

const job = createJob(1, [createStep({count: 1})]);
const firstTask = `${job.jobId}.0.0.0`;
/** Long for a reading; the leases of an earlier leader are still in force. */
const longMs = 2000;
/** Too long for a leader that looks at no worker. */
const tooLongMs = 6000;
const lookMs = 100;
/** Longer than a vacant lead is left alone. */
const claimMs = 1500;

function hasLook(effects: readonly SchedulerEffect[]): boolean {
	return effects.some(({type}) => type === 'worker/poll');
}

/** Leads, with stored progress of a job that it has not read. */
function takeLead(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership([createProgress(0, job, [createRow()])]);
	host.dispatch({type: 'workers/listed', workers: [createWorker('w1')], isReloaded: true});
	return host;
}

describe('a lead taken before all jobs are read', () => {
	/** Guards against: after some seconds the ends of an unread job are acknowledged as those of strangers, and its tasks run again. */
	it('looks at no worker before the jobs are read up to the end', () => {
		const host = takeLead();
		expect(hasLook(host.tick(longMs))).toEqual(false);
		const after = host.dispatch({type: 'intake/read', records: [{type: 'job', job}], completeAt: host.now - 10});
		expect(hasLook(after)).toEqual(true);
		expect([...host.state.workers.get('w1')!.tasks.keys()]).toEqual([firstTask]);
	});

	/** Guards against: a host that cannot read the jobs keeps the lead, and all leases lapse. */
	it('gives the lead up when the jobs cannot be read, for another host to claim', () => {
		const host = takeLead();
		expect(hasLook(host.tick(tooLongMs))).toEqual(false);
		expect(host.state.leadership.role).toEqual('follower');
		expect(listLogEvents(host.effects).includes('lead-lost')).toEqual(true);
	});

	/** Guards against: such a host claims the lead again at once, before any other does. */
	it('leaves the lead to others for a while after it gave it up', () => {
		const host = takeLead();
		const isLeading = () => host.state.leadership.role === 'leader';
		for (let waitedMs = 0; isLeading() && waitedMs < tooLongMs; waitedMs += lookMs) {
			host.tick(lookMs);
		}

		host.dispatch({type: 'ledger/loaded', entries: [], nextOffset: 2});
		expect(host.tick(claimMs).filter(({type}) => type === 'ledger/claim')).toEqual([]);
	});

	/** Guards against: what was read before the lead was taken counts as all jobs that an earlier leader may have started. */
	it('does not go by a reading that was asked for before the lead was taken', () => {
		const host = takeLead();
		const {leaderSince} = host.state.leadership;
		expect(hasLook(host.dispatch({type: 'intake/read', records: [], completeAt: leaderSince - 10}))).toEqual(false);
		expect(hasLook(host.tick(longMs))).toEqual(false);
	});

	/** Guards against: progress of a job that has been removed keeps every new leader from its workers. */
	it('takes a job that is not there after a whole reading for removed', () => {
		const host = takeLead();
		host.tick();
		expect(hasLook(host.dispatch({type: 'intake/read', records: [], completeAt: host.now}))).toEqual(true);
	});
});
