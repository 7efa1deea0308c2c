/** TWICE: the bound on the leases of earlier leaders holds for every lease that they can have granted. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createProgress, createRow, HandDrivenHost, listStarts, type EventBody,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';

const slowClock = 0.98;
const idleMs = 110_000;
const storeMs = 5;
/** A host that is stopped for a while reads what was stored meanwhile in one batch. */
const pauseMs = 2600;
const job = createJob(1, [createStep({count: 1, isLongRunning: true})]);

function createLease(offset: number, token: number, isReleased: boolean): EventBody {
	return {type: 'ledger/read', entries: [{offset, record: {type: 'lease', lease: {holder: `host-${token}`, token, isReleased}}}], nextOffset: offset + 1};
}

/** A host that has followed the leader of token 1 for long; the task runs on worker w1. */
function createFollower(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.dispatch({type: 'config/read', config: createConfig()});
	host.submit(job);
	host.dispatch({type: 'ledger/loaded', entries: [createProgress(1, job, [createRow()])], nextOffset: 2});
	for (let offset = 2; offset < 40; offset++) {
		host.tick(400);
		host.dispatch(createLease(offset, 1, false));
	}

	return host;
}

/** Lets the host take the lead as soon as it may; returns its bound. */
function takeLead(host: HandDrivenHost): number {
	for (let count = 0; count < 400; count++) {
		const claim = host.tick().find(effect => effect.type === 'ledger/claim');
		if (claim) {
			host.dispatch({type: 'claim/ended', outcome: 'granted', claimedAt: claim.at});
			return host.state.leadership.earlierLeasesUntil;
		}
	}

	throw new Error('no claim');
}

describe('the bound on the leases of a leader that has released the lead', () => {
	/** Guards against a task that starts elsewhere while a worker with a slow clock, that had long been idle, still holds the lease of its start. */
	it('covers the lease of a start at a worker that had long been idle, after a release', () => {
		const leader = HandDrivenHost.create();
		leader.takeLeadership();
		leader.addWorkers('w1');
		// The clock was read by the answer to the first poll.
		const readAt = leader.now;
		const clockAtRead = leader.state.workers.get('w1')!.clock!.workerMs;
		leader.tick(idleMs);
		const sentAt = leader.now;
		const [start] = listStarts([...leader.submit(job), ...leader.tick(50)]);
		expect(start?.worker.id).toEqual('w1');
		leader.dispatch({type: 'stop/requested'});
		expect([...leader.tick(50), ...leader.effects].some(effect => effect.type === 'ledger/commit' && effect.records.some(record => record.type === 'lease' && record.lease.isReleased))).toEqual(true);
		/** How long after the sending of the start the worker's clock reaches the end of the lease. */
		const leaseMs = ((start!.untilMs - clockAtRead) / slowClock) - (sentAt - readAt);

		const follower = createFollower();
		follower.tick(storeMs);
		const releasedAt = follower.now;
		follower.dispatch(createLease(40, 1, true));
		const boundMs = takeLead(follower) - releasedAt;
		expect({leaseMs, boundMs, isCovered: boundMs >= leaseMs - 100}).toEqual({leaseMs, boundMs, isCovered: true});
	});

	/** Guards against a leader of which this host has read nothing: of several lease records in a batch the host gets the latest only. */
	it('covers the leases of a leader whose records were replaced by those of its successor before they were read', () => {
		const host = createFollower();
		host.dispatch(createLease(40, 1, true));
		// Host 42 claims, and is cut off from the store; host 45 claims after the silence, and releases the lead.
		const formerConfirmedAt = host.now + 1400;
		host.now += pauseMs;
		host.dispatch(createLease(46, 45, true));
		// Until then host 42 may renew leases of workers that host 45 does not reach.
		const horizonMs = 7500;
		expect(takeLead(host)).toBeGreaterThanOrEqual(formerConfirmedAt + horizonMs);
	});
});
