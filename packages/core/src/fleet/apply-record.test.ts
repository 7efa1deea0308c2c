/** Tests of the state machine: verdicts, bounds, and equal states from equal logs. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {loggedRecordSchema, type LoggedRecord} from '../types/records.js';
import {applyRecord} from './apply-record.js';
import {findDigest} from './digest.js';
import {maxSeenRecordIds, recordIdRetentionMs} from './seen-records.js';
import {decodeFleetState, encodeFleetState} from './state-codec.js';
import {createFleetState, type FleetState} from './state.js';

type Draft = {recordId: string; pool: string; version: number; minimum: number; basedOn: number | undefined};

function createLogged(offset: number, draft: Partial<Draft>): LoggedRecord {
	return loggedRecordSchema.parse({
		offset,
		at: 1000 + offset,
		record: {
			recordId: draft.recordId ?? `record-${offset}`,
			schema: 'pool',
			version: draft.version ?? 1,
			basedOn: draft.basedOn,
			body: {pool: draft.pool ?? 'trucks', minimumHealthyHosts: draft.minimum ?? 1},
		},
	});
}

function applyDrafts(fleet: FleetState, drafts: readonly Draft[]): string[] {
	const first = fleet.nextOffset;
	return drafts.slice(first).map((draft, index) => applyRecord(fleet, createLogged(first + index, draft)).verdict);
}

const draftArbitrary: fc.Arbitrary<Draft> = fc.record({
	recordId: fc.integer({min: 0, max: 12}).map(number => `record-${number}`),
	pool: fc.constantFrom('trucks', 'maps', 'office'),
	version: fc.integer({min: 1, max: 4}),
	minimum: fc.integer({min: -1, max: 3}),
	basedOn: fc.option(fc.integer({min: 0, max: 20}), {nil: undefined}),
});

const draftDefaults: Draft = {
	recordId: 'a', pool: 'trucks', version: 1, minimum: 1, basedOn: undefined,
};

describe('the state machine', () => {
	it('ignores a record whose id was already applied', () => {
		const fleet = createFleetState();
		const verdicts = applyDrafts(fleet, [
			{...draftDefaults, recordId: 'a', minimum: 1},
			{...draftDefaults, recordId: 'b', minimum: 2},
			{...draftDefaults, recordId: 'a', minimum: 3},
		]);
		expect(verdicts).toEqual(['accepted', 'accepted', 'repeated']);
		expect([...fleet.pools.values()].map(pool => pool.body.budget.minimumHealthyHosts)).toEqual([2]);
	});

	it('rejects a record based on an offset that is no longer in force, with the reason', () => {
		const fleet = createFleetState();
		applyRecord(fleet, createLogged(0, {}));
		expect(applyRecord(fleet, createLogged(1, {basedOn: 0, minimum: 2})).verdict).toEqual('accepted');
		expect(applyRecord(fleet, createLogged(2, {basedOn: 0, minimum: 3}))).toEqual({
			verdict: 'void', reason: 'based on offset 0, but offset 1 is in force: another change came first',
		});
	});

	it('sets records of an unknown version aside, up to a bound, and leaves the accepted record in force', () => {
		const fleet = createFleetState();
		applyRecord(fleet, createLogged(0, {}));
		for (let offset = 1; offset <= 1500; offset++) {
			expect(applyRecord(fleet, createLogged(offset, {version: 9})).verdict).toEqual('set-aside');
		}

		expect(fleet.setAside.length).toEqual(1000);
		expect([...fleet.pools.values()].map(pool => pool.offset)).toEqual([0 as never]);
	});

	it('removes record ids only by age or beyond the maximum number', () => {
		const fleet = createFleetState();
		applyRecord(fleet, createLogged(0, {recordId: 'a'}));
		const day = createLogged(1, {recordId: 'b'});
		applyRecord(fleet, {...day, at: (1000 + recordIdRetentionMs) as typeof day.at});
		expect(applyRecord(fleet, createLogged(2, {recordId: 'a'})).verdict).toEqual('repeated');
		applyRecord(fleet, {...createLogged(3, {recordId: 'c'}), at: (1001 + recordIdRetentionMs) as typeof day.at});
		expect(fleet.seenRecordIds.size).toEqual(2);
		expect(maxSeenRecordIds).toBeGreaterThanOrEqual(100_000);
	});

	it('builds the same state from one log, with or without a snapshot in the middle', () => {
		fc.assert(fc.property(fc.array(draftArbitrary, {maxLength: 40}), fc.nat({max: 40}), (drafts, cut) => {
			const whole = createFleetState();
			applyDrafts(whole, drafts);
			const half = createFleetState();
			applyDrafts(half, drafts.slice(0, cut));
			const restored = decodeFleetState(encodeFleetState(half))._unsafeUnwrap();
			applyDrafts(restored, drafts);
			expect(encodeFleetState(restored)).toEqual(encodeFleetState(whole));
			expect(findDigest(restored.recentDigests, restored.nextOffset)).toEqual(whole.digest);
			expect(findDigest(whole.recentDigests, half.nextOffset)).toEqual(half.digest);
		}), {seed: 5, numRuns: 300});
	});

	it('gives different digests if one body differs', () => {
		const first = createFleetState();
		const second = createFleetState();
		applyRecord(first, createLogged(0, {minimum: 1}));
		applyRecord(second, createLogged(0, {minimum: 2}));
		expect(first.digest === second.digest).toEqual(false);
	});
});
