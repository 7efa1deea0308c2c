/** Tests that a host's applied offset never decreases, whatever pages the platform returns, which state a host starts from, and when snapshots are written. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {listStartEffects, reduce} from '../engine/reduce.js';
import {applyRecord} from '../fleet/apply-record.js';
import {createFleetState} from '../fleet/state.js';
import type {Effect} from '../types/effects.js';
import type {Incarnation} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';
import {applyLoggedRecords} from './applying.js';
import {createSnapshotChunks} from './snapshot-chunks.js';
import {isReady} from './start.js';
import {
	createPage, createPoolRecord, createSnapshotPage, createTestHost, createTestLog, createTick, listEffects, startTestHost,
} from './test-fleet.js';

const log = createTestLog(40);

function createAppliedFleet(count: number) {
	const fleet = createFleetState();
	for (const logged of log.slice(0, count)) {
		applyRecord(fleet, logged);
	}

	return fleet;
}

function createSnapshotRecords(count: number): LoggedRecord[] {
	return createSnapshotChunks(createAppliedFleet(count), `snapshot-${count}`).map((chunk, index) => ({
		offset: index as Offset, at: 1000 as Instant, record: {...createPoolRecord(`chunk-${count}-${index}`), schema: 'snapshot', body: chunk},
	}));
}

function tickUntil(state: State, fromAt: number, untilAt: number): Effect[] {
	const effects: Effect[] = [];
	for (let at = fromAt; at <= untilAt; at += 50) {
		effects.push(...reduce(state, createTick(at)));
	}

	return effects;
}

/** Sends heartbeats of all peers; none of them knows of a snapshot. */
function sendHeartbeats(state: State, at: number): void {
	for (const {hostId} of state.settings.peers) {
		const heartbeat = {
			type: 'heartbeat' as const, hostId, incarnation: 'incarnation-1' as Incarnation, sentAt: at as Instant, nextOffset: 40 as Offset,
		};
		reduce(state, {
			type: 'peer/message', at: at as Instant, peer: hostId, message: heartbeat,
		});
	}
}

describe('the applied offset', () => {
	it('never decreases and follows the true history, whatever pages are read', () => {
		const page = fc.record({
			first: fc.nat({max: 40}), from: fc.nat({max: 40}), end: fc.nat({max: 40}), isLost: fc.boolean(),
		});
		fc.assert(fc.property(fc.array(page, {maxLength: 30}), pages => {
			const state = createTestHost('entry-1');
			startTestHost(state, log.slice(0, 5), 1000);
			let at = 1000;
			for (const {first, from, end, isLost} of pages) {
				at += 100;
				const before = state.fleet.nextOffset;
				const event = isLost
					? {type: 'log/read-failed' as const, at: at as Instant, fault: {kind: 'log-unavailable' as const, detail: 'lost'}}
					: createPage(at, log.slice(Math.max(first, from), end), first, end);
				const effects = [...reduce(state, event), ...reduce(state, createTick(at))];
				expect(listEffects(effects, 'invariant/violated')).toEqual([]);
				expect(state.fleet.nextOffset).toBeGreaterThanOrEqual(before);
				expect(state.fleet.digest).toEqual(createAppliedFleet(state.fleet.nextOffset).digest);
			}
		}), {seed: 11, numRuns: 200});
	});

	it('is advanced past a gap by a snapshot and follows the log from there', () => {
		const state = createTestHost('entry-1');
		startTestHost(state, log.slice(0, 5), 1000);
		reduce(state, createPage(1100, log.slice(20, 30), 20, 30));
		expect([state.fleet.nextOffset as number, state.log.hasGap]).toEqual([5, true]);
		expect(listEffects(tickUntil(state, 1150, 1200), 'snapshot/read').length).toEqual(1);
		reduce(state, createSnapshotPage(1250, createSnapshotRecords(25)));
		expect(state.fleet.nextOffset as number).toEqual(25);
		reduce(state, createPage(1300, log.slice(25, 30), 20, 30));
		expect(state.fleet.digest).toEqual(createAppliedFleet(30).digest);
		reduce(state, createSnapshotPage(1350, createSnapshotRecords(10)));
		expect(state.fleet.nextOffset as number).toEqual(30);
	});
});

describe('a log that ends before what was applied', () => {
	it('is reported only if it ends before the offset that the read requested', () => {
		const state = createTestHost('entry-1');
		startTestHost(state, log.slice(0, 5), 1000);
		reduce(state, createTick(1100));
		applyLoggedRecords(state, log.slice(5, 8));
		const late = reduce(state, createPage(1200, [], 0, 5));
		expect([state.log.isTruncated, listEffects(late, 'line/write').length]).toEqual([false, 0]);
		reduce(state, createTick(1300));
		const truncated = reduce(state, createPage(1400, [], 0, 5));
		expect([state.log.isTruncated, listEffects(truncated, 'line/write').length]).toEqual([true, 1]);
	});
});

describe('a starting host', () => {
	it('does not start from a log that lacks its first records, but from the snapshot', () => {
		const state = createTestHost('entry-1');
		listStartEffects(state);
		reduce(state, createPage(1000, log.slice(20), 20, 40));
		tickUntil(state, 1050, 4000);
		expect([isReady(state), state.fleet.nextOffset as number]).toEqual([false, 0]);
		reduce(state, createSnapshotPage(4100, createSnapshotRecords(25)));
		reduce(state, createPage(4200, log.slice(25), 20, 40));
		tickUntil(state, 4250, 6000);
		expect([isReady(state), state.fleet.nextOffset as number]).toEqual([true, 40]);
	});

	it('that lacks expired records is not ready when a read of the log fails, but once a snapshot covers them', () => {
		const state = createTestHost('entry-1');
		listStartEffects(state);
		reduce(state, createSnapshotPage(1000, createSnapshotRecords(25)));
		reduce(state, createPage(1100, log.slice(30), 30, 40));
		tickUntil(state, 1150, 4000);
		expect([isReady(state), state.log.hasGap]).toEqual([false, true]);
		reduce(state, {type: 'log/read-failed', at: 4100 as Instant, fault: {kind: 'log-unavailable', detail: 'one answer was lost'}});
		tickUntil(state, 4150, 4200);
		expect(isReady(state)).toEqual(false);
		reduce(state, createPage(4250, log.slice(30), 30, 40));
		tickUntil(state, 4300, 6000);
		expect([isReady(state), state.fleet.nextOffset as number]).toEqual([false, 25]);
		reduce(state, createSnapshotPage(6100, createSnapshotRecords(32)));
		reduce(state, createPage(6200, log.slice(32), 30, 40));
		tickUntil(state, 6250, 8000);
		expect([isReady(state), state.fleet.nextOffset as number]).toEqual([true, 40]);
	});

	it('does not accept a snapshot whose text does not match its checksum', () => {
		const state = createTestHost('entry-1');
		listStartEffects(state);
		const [first, ...rest] = createSnapshotRecords(25);
		const body = first?.record.body as {text: string};
		const changed = {...body, text: body.text.replace('trucks', 'tracks')};
		reduce(state, createSnapshotPage(1000, first ? [{...first, record: {...first.record, body: changed}}, ...rest] : []));
		expect(state.log.startedFrom).toEqual(undefined);
	});

	it('starts from an empty state only once the log and the snapshots were read as empty and the grace period for peers is over', () => {
		const state = createTestHost('entry-1', ['entry-2']);
		listStartEffects(state);
		reduce(state, createPage(1000, [], 0, 0));
		tickUntil(state, 1050, 4000);
		expect(isReady(state)).toEqual(false);
		reduce(state, createSnapshotPage(4100));
		reduce(state, createPage(4200, [], 0, 0));
		tickUntil(state, 4250, 4300);
		expect(isReady(state)).toEqual(true);
	});

	it('is not ready without a peer while the platform is unavailable', () => {
		const state = createTestHost('entry-1', ['entry-2']);
		listStartEffects(state);
		reduce(state, {type: 'log/read-failed', at: 1000 as Instant, fault: {kind: 'log-unavailable', detail: 'down'}});
		reduce(state, {type: 'snapshot/read-failed', at: 1000 as Instant, fault: {kind: 'log-unavailable', detail: 'down'}});
		tickUntil(state, 1050, 10_000);
		expect(isReady(state)).toEqual(false);
	});

	it('that was frozen is not ready until it has caught up with the log', () => {
		const state = createTestHost('entry-1');
		startTestHost(state, log, 1000);
		expect(isReady(state)).toEqual(true);
		reduce(state, createTick(9000));
		expect(isReady(state)).toEqual(false);
		reduce(state, createPage(9100, [], 0, 40));
		reduce(state, createTick(9100));
		reduce(state, createPage(9200, [], 0, 40));
		expect(isReady(state)).toEqual(true);
	});
});

describe('snapshots', () => {
	it('are written by only one of nine hosts when the first one is due after a start', () => {
		const ids = Array.from({length: 9}, (_, index) => `entry-${index}`);
		const hosts = ids.map(id => createTestHost(id, ids.filter(other => other !== id)));
		for (const state of hosts) {
			startTestHost(state, log, 1_000_000);
		}

		const writers = hosts.filter(state => {
			for (let at = 1_000_050; at <= 1_011_500; at += 50) {
				sendHeartbeats(state, at);
				if (listEffects(reduce(state, createTick(at)), 'snapshot/write').length > 0) {
					return true;
				}
			}

			return false;
		});
		expect(writers.length).toEqual(1);
	});

	it('are renewed before they expire, but not earlier, when nothing has changed', () => {
		const state = createTestHost('entry-1');
		startTestHost(state, log, 1000);
		reduce(state, {type: 'snapshot/written', at: 1001 as Instant, nextOffset: 40 as Offset});
		const early = tickUntil(state, 1050, 55_000);
		expect(listEffects(early, 'snapshot/write')).toEqual([]);
		const late = tickUntil(state, 55_050, 70_000);
		expect(listEffects(late, 'snapshot/write').map(effect => effect.nextOffset as number)).toEqual([40]);
	});
});
