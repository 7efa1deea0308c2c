/** Keeps appends within the limits of the store, which refuses larger ones however often they are sent. */
import {Buffer} from 'node:buffer';
import type {NewRecord, StoreLimits} from './ports.js';

/** The lengths of a record and of its key. */
const headBytes = 5;

/** Size of a record as the store counts it, in bytes. */
export function measureRecord({key, value}: NewRecord): number {
	return headBytes + Buffer.byteLength(key) + (value?.length ?? 0);
}

/** True if the store takes a record of this size. */
export function canStore(record: NewRecord, {maxRecordBytes}: StoreLimits): boolean {
	return measureRecord(record) <= maxRecordBytes;
}

/** Splits records, in their order, into appends that the store takes; one empty append if there are none. */
export function splitAppend(records: readonly NewRecord[], {maxAppendBytes}: StoreLimits): NewRecord[][] {
	const batches: NewRecord[][] = [];
	let batch: NewRecord[] = [];
	let bytes = 0;
	for (const record of records) {
		const recordBytes = measureRecord(record);
		if (batch.length > 0 && bytes + recordBytes > maxAppendBytes) {
			batches.push(batch);
			batch = [];
			bytes = 0;
		}

		batch.push(record);
		bytes += recordBytes;
	}

	return [...batches, batch];
}
