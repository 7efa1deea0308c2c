/** TWICE: the bound on the leases of earlier leaders holds for every lease that they can have granted. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createProgress, createRow, HandDrivenHost, type EventBody,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';

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

describe('the bound on the leases of earlier leaders', () => {
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

