/** Tests of when a snapshot is due. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {reduce} from '../engine/reduce.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';
import {
	createPage, createTestHost, createTestLog, createTick, listEffects, startTestHost,
} from './test-fleet.js';

const log = createTestLog(3000);
const retentionMs = 240_000;

/** A host whose snapshot covers the first ten records. */
function createCoveredHost(): State {
	const state = createTestHost('entry-1');
	startTestHost(state, log.slice(0, 10), 1000);
	reduce(state, {type: 'snapshot/written', at: 1001 as Instant, nextOffset: 10 as Offset});
	return state;
}

/** Reads `recordsPerSecond` new records each second and counts the snapshot writes until `untilAt`; each write ends with the event `end`. */
function countWrites(state: State, [fromAt, untilAt]: readonly [number, number], recordsPerSecond: number, end: 'snapshot/written' | 'snapshot/write-failed' = 'snapshot/written'): number {
	let count = 0;
	for (let at = fromAt; at < untilAt; at += 1000) {
		const from = state.fleet.nextOffset;
		reduce(state, createPage(at, log.slice(from, from + recordsPerSecond), 0, from + recordsPerSecond));
		for (const {nextOffset} of listEffects(reduce(state, createTick(at)), 'snapshot/write')) {
			count += 1;
			reduce(state, end === 'snapshot/written'
				? {type: end, at: at as Instant, nextOffset}
				: {type: end, at: at as Instant, fault: {kind: 'log-unavailable', detail: 'lost'}});
		}
	}

	return count;
}

describe('a snapshot', () => {
	it('is not due before a quarter of the retention if only a few records are added', () => {
		const state = createCoveredHost();
		expect(countWrites(state, [2000, 55_000], 1)).toEqual(0);
		expect(countWrites(state, [55_000, 1000 + (retentionMs / 2)], 1)).toEqual(1);
	});

	it('is due earlier after a thousand records', () => {
		expect(countWrites(createCoveredHost(), [2000, 20_000], 100)).toEqual(1);
	});

	it('is due at once if the latest one is in the older half of what the log keeps', () => {
		const state = createCoveredHost();
		reduce(state, createPage(8000, log.slice(10, 30), 0, 30));
		expect(listEffects(reduce(state, createTick(8000)), 'snapshot/write')).toEqual([]);
		reduce(state, createPage(9000, [], 8, 30));
		expect(listEffects(reduce(state, createTick(9000)), 'snapshot/write').map(effect => effect.nextOffset as number)).toEqual([30]);
	});

	it('that could not be written is retried every few seconds', () => {
		expect(countWrites(createCoveredHost(), [61_000, 91_000], 0, 'snapshot/write-failed')).toEqual(6);
	});
});
