/** Appends stay within the limits of the store, which refuses larger ones for good. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {canStore, measureRecord, splitAppend} from './append-batches.js';
import type {NewRecord} from './ports.js';

const limits = {maxRecordBytes: 100, maxAppendBytes: 250};

function createRecord(key: string, bytes: number): NewRecord {
	return {key, value: new Uint8Array(bytes - measureRecord({key, value: undefined}))};
}

describe('the records of an append', () => {
	it('are split where the next one would not fit, in their order', () => {
		const records = [80, 100, 70, 100, 100, 60].map((bytes, index) => createRecord(`k${index}`, bytes));
		const batches = splitAppend(records, limits);
		expect(batches.map(batch => batch.map(({key}) => key))).toEqual([['k0', 'k1', 'k2'], ['k3', 'k4'], ['k5']]);
	});

	it('stay together while they fit, also if there are none', () => {
		const records = [createRecord('a', 100), createRecord('b', 100), createRecord('c', 50)];
		expect(splitAppend(records, limits)).toEqual([records]);
		expect(splitAppend([], limits)).toEqual([[]]);
	});

	it('are measured with their key in bytes, and removals by their key alone', () => {
		expect(measureRecord({key: 'é', value: new Uint8Array(3)}) - measureRecord({key: 'e', value: undefined})).toEqual(4);
	});

	it('fit up to the limit of a record', () => {
		expect([100, 101].map(bytes => canStore(createRecord('k', bytes), limits))).toEqual([true, false]);
	});
});
