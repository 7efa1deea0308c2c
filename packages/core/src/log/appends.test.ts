/** Tests of appends: batches, rate limit, retries under the same id, and that only records which were never sent are refused. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {reduce} from '../engine/reduce.js';
import type {Effect} from '../types/effects.js';
import type {CallerKey} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';
import {isLogUnavailable, queueRecord} from './appends.js';
import {
	createPage, createPoolRecord, createTestHost, createTestLog, createTick, listEffects, startTestHost,
} from './test-fleet.js';

const startAt = 10_000;

function createReadyHost(): State {
	const state = createTestHost('entry-1');
	startTestHost(state, createTestLog(1), startAt);
	return state;
}

function publish(state: State, at: number, recordIds: readonly string[]): Effect[] {
	return reduce(state, {
		type: 'publish/requested',
		at: at as Instant,
		callerKey: `call-${at}` as CallerKey,
		records: recordIds.map(recordId => createPoolRecord(recordId)),
		deadline: (at + 5000) as Instant,
	});
}

function tickUntil(state: State, fromAt: number, untilAt: number, stepMs = 50): Effect[] {
	const effects: Effect[] = [];
	for (let at = fromAt; at <= untilAt; at += stepMs) {
		effects.push(...reduce(state, createTick(at)));
	}

	return effects;
}

describe('appends', () => {
	it('send records queued within the window in one append', () => {
		const state = createReadyHost();
		const effects = [...publish(state, startAt + 1, ['a', 'b']), ...publish(state, startAt + 10, ['c'])];
		expect(listEffects(effects, 'log/append')).toEqual([]);
		expect(listEffects(effects, 'log/schedule-flush').map(effect => effect.at)).toEqual([(startAt + 21) as Instant]);
		const flushed = reduce(state, {type: 'log/flush-due', at: (startAt + 21) as Instant});
		expect(listEffects(flushed, 'log/append').map(effect => effect.records.length)).toEqual([3]);
	});

	it('are at most 20 a second, however many records are queued', () => {
		const state = createReadyHost();
		let count = 0;
		for (let at = startAt; at < startAt + 1000; at += 5) {
			queueRecord(state, createPoolRecord(`record-at-${at}`));
			const appends = listEffects([...reduce(state, createTick(at)), ...reduce(state, {type: 'log/flush-due', at: at as Instant})], 'log/append');
			count += appends.length;
			for (const append of appends) {
				reduce(state, {type: 'log/appended', at: at as Instant, recordIds: append.records.map(record => record.recordId)});
			}
		}

		expect(count).toBeLessThanOrEqual(20);
		expect(count).toBeGreaterThan(10);
	});

	it('are retried under the same id, with growing delays, until they are read back', () => {
		const state = createReadyHost();
		queueRecord(state, createPoolRecord('a'), (startAt + 60_000) as Instant);
		const sentAt: number[] = [];
		for (let at = startAt; at < startAt + 20_000; at += 50) {
			for (const append of listEffects(reduce(state, createTick(at)), 'log/append')) {
				expect(append.records.map(record => record.recordId as string)).toEqual(['a']);
				sentAt.push(at);
				reduce(state, {
					type: 'log/append-failed', at: at as Instant, recordIds: append.records.map(record => record.recordId), fault: {kind: 'log-unavailable', detail: 'lost'},
				});
			}
		}

		const gaps = sentAt.slice(1).map((at, index) => at - (sentAt[index] ?? 0));
		expect(gaps.length).toBeGreaterThan(3);
		expect(gaps.at(-1) ?? 0).toBeGreaterThan(2 * (gaps[0] ?? 0));
		reduce(state, createPage(startAt + 20_000, [{offset: 1 as Offset, at: 5 as Instant, record: createPoolRecord('a')}], 0, 2));
		expect(state.log.pending.size).toEqual(0);
	});

	it('are refused at once while the log is known to be unavailable', () => {
		const state = createReadyHost();
		reduce(state, {type: 'log/read-failed', at: (startAt + 1) as Instant, fault: {kind: 'log-unavailable', detail: 'down'}});
		const effects = publish(state, startAt + 2, ['a']);
		expect(listEffects(effects, 'caller/refuse').map(effect => effect.fault.kind)).toEqual(['log-unavailable']);
		expect(state.log.pending.size).toEqual(0);
	});

	it('whose answers are lost do not make the log count as unavailable once their records are read back', () => {
		const state = createReadyHost();
		for (let index = 1; index <= 5; index++) {
			const at = (startAt + (100 * index)) as Instant;
			const record = createPoolRecord(`change-${index}`);
			queueRecord(state, record);
			expect(listEffects(reduce(state, createTick(at)), 'log/append').length).toEqual(1);
			reduce(state, {
				type: 'log/append-failed', at, recordIds: [record.recordId], fault: {kind: 'log-unavailable', detail: 'lost'},
			});
			reduce(state, createPage(at, [{offset: index as Offset, at, record}], 0, index + 1));
			expect(isLogUnavailable(state)).toEqual(false);
		}
	});

	it('not read back by the deadline are reported as unknown if sent, and as refused if never sent', () => {
		const sent = createReadyHost();
		publish(sent, startAt + 1, ['a']);
		const afterSent = tickUntil(sent, startAt + 50, startAt + 5050);
		expect(listEffects(afterSent, 'caller/refuse').map(effect => effect.fault.kind)).toEqual(['append-unknown']);
		const unsent = createReadyHost();
		publish(unsent, startAt + 1, ['a']);
		const afterUnsent = reduce(unsent, createTick(startAt + 6000));
		expect(listEffects(afterUnsent, 'log/append')).toEqual([]);
		expect(listEffects(afterUnsent, 'caller/refuse').map(effect => effect.fault.kind)).toEqual(['log-unavailable']);
	});
});
