/** TWICE: a new leader waits for every lease that any earlier leader may have granted, as far as the ledger shows. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfig, HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {
	clockRefreshMs, leaseHorizonMs, maxClockDrift, workerLeaseMs,
} from './timing.js';

function readLease(host: HandDrivenHost, offset: number, holder: string, isReleased = false): void {
	const token = Number(holder.slice(1));
	host.dispatch({type: 'ledger/read', entries: [{offset, record: {type: 'lease', lease: {holder, token, isReleased}}}], nextOffset: offset + 1});
}

/** A host that has followed leader `l1` for longer than any lease lasts. */
function createFollower(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.dispatch({type: 'config/read', config: createConfig()});
	host.dispatch({type: 'ledger/loaded', entries: [{offset: 0, record: {type: 'lease', lease: {holder: 'l1', token: 1, isReleased: false}}}], nextOffset: 1});
	for (let offset = 1; offset <= 50; offset++) {
		host.tick(400);
		readLease(host, offset, 'l1');
	}

	return host;
}

/** Takes the lead; returns until when leases of earlier leaders count. */
function takeLeadership(host: HandDrivenHost): number {
	for (const end = host.now + 5000; host.now < end;) {
		const claim = host.tick().find(effect => effect.type === 'ledger/claim');
		if (claim) {
			host.dispatch({type: 'claim/ended', outcome: 'granted', claimedAt: claim.at});
			return host.state.leadership.earlierLeasesUntil;
		}
	}

	throw new Error('the host did not claim the lead');
}

describe('the leases of earlier leaders', () => {
	it('count from the latest record of a leader that fell silent', () => {
		const host = createFollower();
		const readAt = host.now;
		const until = takeLeadership(host);
		expect(until).toBeGreaterThanOrEqual(readAt + leaseHorizonMs);
		expect(until).toBeLessThan(readAt + leaseHorizonMs + 1000);
	});

	/** Guards against a successor that waits for the last leader alone, though the one before may not know yet that it was replaced. */
	it('count from the claim of the leader that replaced another, although it released the lead at once', () => {
		const host = createFollower();
		host.tick(300);
		const claimedAt = host.now;
		readLease(host, 51, 'l52');
		host.tick(100);
		readLease(host, 52, 'l52', true);
		expect(takeLeadership(host)).toBeGreaterThanOrEqual(claimedAt + leaseHorizonMs);
	});

	it('count for a short time after a release', () => {
		const host = createFollower();
		readLease(host, 51, 'l1', true);
		const until = takeLeadership(host);
		expect(until).toBeGreaterThanOrEqual(host.now + (workerLeaseMs / (1 - maxClockDrift)));
		expect(until).toBeLessThan(host.now + leaseHorizonMs);
	});

	/** Guards against a host that has just started and sees a release, but not who led before. */
	it('count from the full read of the ledger, also if it ends with a release', () => {
		const host = HandDrivenHost.create();
		host.dispatch({type: 'config/read', config: createConfig()});
		const loadedAt = host.now;
		host.dispatch({type: 'ledger/loaded', entries: [{offset: 8, record: {type: 'lease', lease: {holder: 'l7', token: 7, isReleased: true}}}], nextOffset: 9});
		expect(takeLeadership(host)).toBeGreaterThanOrEqual(loadedAt + leaseHorizonMs);
	});

	/** Guards against a host that forgets its own leases of an earlier term. */
	it('count from the end of an own earlier term', () => {
		const host = createFollower();
		takeLeadership(host);
		host.dispatch({
			type: 'commit/ended', outcome: 'fenced', sequence: 0, token: host.token,
		});
		const lostAt = host.now;
		host.dispatch({type: 'ledger/loaded', entries: [{offset: 60, record: {type: 'lease', lease: {holder: 'l60', token: 60, isReleased: true}}}], nextOffset: 61});
		expect(takeLeadership(host)).toBeGreaterThanOrEqual(lostAt + leaseHorizonMs);
	});
});

describe('the leases of this leader', () => {
	/** Guards against leases that outlast the wait of a successor, of a leader that the store does not answer. */
	it('end within the horizon after the latest confirmed append', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.addWorkers('w1');
		const [start] = listStarts(host.submit(createJob(1, [createStep({count: 1, isLongRunning: true})])));
		host.answerStart(start!);
		host.isConfirmingAppends = false;
		const {confirmedAt} = host.state.leadership;
		const renewals: number[] = [];
		for (const end = host.now + (2 * leaseHorizonMs); host.now < end;) {
			const effects = [...host.tick(), ...host.answerPoll('w1', {
				running: [{
					task: start!.task, run: 1, checkpoint: '', percent: 100, reading: 0,
				}],
			})];
			renewals.push(...effects.flatMap(effect => effect.type === 'worker/poll' ? [effect.untilMs ?? 0] : []));
		}

		expect(host.state.leadership.confirmedAt).toEqual(confirmedAt);
		expect(Math.max(...renewals)).toBeLessThanOrEqual(confirmedAt + leaseHorizonMs);
		// The lease lasts nearly until then: an outage of the store is borne as long as it safely can be.
		expect(Math.max(...renewals)).toBeGreaterThan(confirmedAt + leaseHorizonMs - 500);
	});

	/** Guards against a lease that a slow clock, read long ago, makes longer than a successor waits for. */
	it('end within the horizon on a slow clock that was read long ago', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.addWorkers('w1');
		const readAt = host.now;
		for (let waitedMs = 0; waitedMs < clockRefreshMs - 1000; waitedMs += 400) {
			host.tick(400);
		}

		const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1})])), ...host.tick(50)]);
		const {clock} = host.state.workers.get('w1')!;
		expect(clock!.at).toBeLessThanOrEqual(readAt);
		const expiresAt = clock!.at + ((start!.untilMs - clock!.workerMs) / (1 - maxClockDrift));
		expect(expiresAt).toBeLessThanOrEqual(host.state.leadership.confirmedAt + leaseHorizonMs + 1);
	});

	it('rest on a clock that is read again after a while, also of an idle worker', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.addWorkers('w1');
		const countPolls = (forMs: number) => host.tick(forMs).filter(effect => effect.type === 'worker/poll').length;
		expect(countPolls(clockRefreshMs - 1000)).toEqual(0);
		expect(countPolls(2000)).toEqual(1);
	});
});
