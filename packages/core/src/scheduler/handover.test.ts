/** A weak host that leads and cannot send what the fleet needs hands over leadership to a stronger one. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfig, HandDrivenHost} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import {NarrowLeader} from './testing/narrow-leader.js';
import {workerLeaseMs} from './timing.js';
import type {LeaseRecord} from './types.js';

const weak = 0.8;
const jobs = 100;
const tasksPerJob = 16;
/** An outage of the leader may last as long as the leases of the workers. */
const handedOverWithinMs = workerLeaseMs;

function listReleases(leader: NarrowLeader): LeaseRecord[] {
	return leader.records.filter(record => record.type === 'lease').map(({lease}) => lease).filter(({isReleased}) => isReleased);
}

/** A leader that gets far more tasks than it can start. */
function overload(capacityShortfall: number, callMs: number): NarrowLeader {
	const leader = NarrowLeader.create({
		workers: 60, callMs, connectMs: callMs, settings: {capacityShortfall},
	});
	leader.run(2000);
	for (let number = 1; number <= jobs; number++) {
		leader.submit(createJob(number, [createStep({count: tasksPerJob, estimateMs: 800, need: {cpu: 1000, memoryMb: 100, gpu: 0}})]));
		leader.run(handedOverWithinMs / jobs);
	}

	return leader;
}

/** A follower with a full view of the ledger that reads that the leader has handed over. */
function readHandover(capacityShortfall: number): HandDrivenHost {
	const host = HandDrivenHost.create({capacityShortfall});
	host.dispatch({type: 'config/read', config: createConfig()});
	host.dispatch({type: 'ledger/loaded', entries: [], nextOffset: 5});
	host.dispatch({
		type: 'ledger/read', nextOffset: 6, entries: [{
			offset: 5, record: {
				type: 'lease', lease: {
					holder: 'other', token: 1, isReleased: true, capacityShortfall: weak,
				},
			},
		}],
	});
	return host;
}

/** How long after reading the release a host claims leadership. */
function measureClaimMs(host: HandDrivenHost): number {
	const readAt = host.now;
	while (!host.effects.some(({type}) => type === 'ledger/claim')) {
		host.tick();
	}

	return host.now - readAt;
}

describe('a leader that cannot send what the fleet needs', () => {
	/** Guards against a backlog that grows for as long as a weak host leads: it is never silent, so no other host claims. */
	it('hands over if it is weak', () => {
		const leader = overload(weak, 30);
		expect(listReleases(leader).map(({openLeases: _openLeases, ...release}) => release)).toEqual([{
			holder: 'h', token: 1, isReleased: true, capacityShortfall: weak,
		}]);
		expect(leader.state.leadership.role).toEqual('follower');
	});

	it('leads on if no host is stronger', () => {
		const leader = overload(0, 30);
		expect(listReleases(leader)).toEqual([]);
		expect(leader.state.leadership.role).toEqual('leader');
	});

	it('leads on if it is weak but keeps up', () => {
		const leader = overload(weak, 0.5);
		expect(listReleases(leader)).toEqual([]);
		expect(leader.state.leadership.role).toEqual('leader');
	});
});

describe('leadership that a weak host has handed over', () => {
	/** The longest pause between two reads of the ledger on a strong host, and the range of its jitter. */
	const slowestStrongMs = 750;

	it('is claimed at once by a stronger host, and by an equal one only if no stronger one has', () => {
		expect(measureClaimMs(readHandover(0))).toBeLessThan(100);
		expect(measureClaimMs(readHandover(weak))).toBeGreaterThan(slowestStrongMs);
		expect(measureClaimMs(readHandover(weak))).toBeLessThan(workerLeaseMs / 2);
	});

	/** Guards against hosts of which none can do better handing over to one another. */
	it('is kept by an equal host that claims it, though it cannot keep up either', () => {
		const leader = NarrowLeader.create({
			workers: 60, callMs: 30, connectMs: 30, settings: {capacityShortfall: weak},
		});
		leader.state.leadership.latestHandover = {capacityShortfall: weak, readAt: leader.now};
		for (let number = 1; number <= jobs; number++) {
			leader.submit(createJob(number, [createStep({count: tasksPerJob, estimateMs: 800, need: {cpu: 1000, memoryMb: 100, gpu: 0}})]));
			leader.run(handedOverWithinMs / jobs);
		}

		expect(listReleases(leader)).toEqual([]);
	});
});
