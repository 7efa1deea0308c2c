/** Tests of the planner lease: duplicate renewals are detected without their ids, and a graceful stop releases the lease. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {reduce} from '../engine/reduce.js';
import {applyRecord} from '../fleet/apply-record.js';
import {createFleetState} from '../fleet/state.js';
import {
	createPage, createTestHost, createTick, listEffects, startTestHost,
} from '../log/test-fleet.js';
import type {Effect} from '../types/effects.js';
import {logRecordSchema, type LogRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';
import {findOwnTerm} from './leadership.js';

const startAt = 100_000;

function createLease(recordId: string, term: number, deadline: number, holder = 'entry-1'): LogRecord {
	return logRecordSchema.parse({
		recordId, schema: 'planner-lease', version: 1, body: {
			holder, incarnation: `life-of-${holder}`, term, deadline,
		},
	});
}

/** Ticks until `untilAt`; records that the host appends are read back immediately as the end of its log. */
function runTicks(state: State, fromAt: number, untilAt: number): Effect[] {
	const all: Effect[] = [];
	for (let at = fromAt; at < untilAt; at += 50) {
		const effects = [...reduce(state, {type: 'workers/listed', at: at as Instant, workers: []}), ...reduce(state, createTick(at))];
		const records = listEffects(effects, 'log/append').flatMap(effect => [...effect.records]);
		const from = state.fleet.nextOffset;
		const logged = records.map((record, index) => ({offset: (from + index) as Offset, at: at as Instant, record}));
		reduce(state, createPage(at, logged, 0, from + logged.length));
		all.push(...effects);
	}

	return all;
}

describe('records of the planner\'s lease', () => {
	it('are applied once within a term, although the ids of renewals are not remembered', () => {
		const fleet = createFleetState();
		const records = [
			createLease('take', 1, 6000),
			createLease('renewal-1', 1, 8000),
			createLease('renewal-2', 1, 10_000),
			createLease('renewal-1', 1, 8000),
			createLease('take', 1, 6000),
			createLease('hand-back', 1, 0),
			createLease('renewal-2', 1, 10_000),
			createLease('hand-back', 1, 0),
		];
		const verdicts = records.map((record, offset) => applyRecord(fleet, {offset: offset as Offset, at: 1000 as Instant, record}).verdict);
		expect(verdicts).toEqual(['accepted', 'accepted', 'accepted', 'repeated', 'repeated', 'accepted', 'repeated', 'repeated']);
		expect(fleet.plannerLease?.deadline as number).toEqual(0);
		expect([...fleet.seenRecordIds.keys()].map(String)).toEqual(['take']);
	});

	it('of another holder are void until the lease is released', () => {
		const fleet = createFleetState();
		const records = [createLease('take', 1, 6000), createLease('early', 2, 7000, 'entry-2'), createLease('hand-back', 1, 0), createLease('next', 2, 7000, 'entry-2')];
		const verdicts = records.map((record, offset) => applyRecord(fleet, {offset: offset as Offset, at: 1000 as Instant, record}).verdict);
		expect(verdicts).toEqual(['accepted', 'void', 'accepted', 'accepted']);
	});
});

describe('a planner that is stopped gracefully', () => {
	it('releases the lease, stops acting and does not take it again', () => {
		const state = createTestHost('entry-1');
		startTestHost(state, [], startAt);
		reduce(state, createPage(startAt, [], 0, 0));
		runTicks(state, startAt, startAt + 3000);
		expect(findOwnTerm(state)).toEqual(1);
		reduce(state, {type: 'stop/requested', at: (startAt + 3000) as Instant});
		expect(findOwnTerm(state)).toEqual(undefined);
		runTicks(state, startAt + 3000, startAt + 3500);
		expect(state.fleet.plannerLease?.deadline as number).toEqual(0);
		const later = runTicks(state, startAt + 3500, startAt + 13_000);
		expect(listEffects(later, 'log/append')).toEqual([]);
	});
});
