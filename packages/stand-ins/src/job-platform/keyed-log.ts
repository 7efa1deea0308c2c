/**
 * A test double of the users' store: streams of keyed records with conditional appends, producer epochs, long-polling
 * reads, paged answers and deletion of history.
 */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';

const lengthBytes = 4;
const offsetBytes = 8;
const pollMs = 10;
const bytesPerKb = 1024;
const base64Factor = 4 / 3;

type NewestRecord = {readonly key: string; readonly value: Uint8Array; readonly offset: number};
/** `records` begins at the offset `first`. `newest` keeps the newest record of each key even when it was deleted from `records`. */
type Stream = {records: Uint8Array[]; first: number; readonly newest: Map<string, NewestRecord>; readonly epochs: Map<string, {epoch: number; sequence: number}>};

/** Conditions of an append, from the query string. */
export type AppendQuery = {readonly at: number | undefined; readonly producer: string | undefined; readonly epoch: number; readonly sequence: number};
export type LogAnswer = {readonly status: number; readonly body: unknown};

/** Parameters of a read; without `maxKb` only the store's own limit applies. */
export type ReadQuery = {readonly from: number; readonly waitMs: number; readonly maxKb?: number | undefined};
/** `bytes`: the end offset and the first offset of the stream, then one page of records. `deleted`: the records asked for no longer exist; `first` is the first offset left. */
export type ReadAnswer = {readonly type: 'read'; readonly bytes: Uint8Array} | {readonly type: 'deleted'; readonly first: number};

/** Upper limits of one answer, whatever the caller asks for; a page has at least one record. */
export type PageLimits = {readBytes: number; newestItems: number; newestBytes: number};

export type NewestPage = {
	readonly items: ReadonlyArray<{readonly key: string; readonly value: string; readonly offset: number}>;
	readonly truncated: boolean;
	readonly end: number;
};

const statusOk = 200;
const statusConflict = 409;
const statusPreconditionFailed = 412;

/** The page limits of the users' store. */
export function createPageLimits(): PageLimits {
	return {readBytes: bytesPerKb * bytesPerKb, newestItems: 500, newestBytes: bytesPerKb * bytesPerKb};
}

export class KeyedLog {
	static create(): KeyedLog {
		return new KeyedLog();
	}

	/** Tests lower these limits to get small pages. */
	readonly pageLimits = createPageLimits();
	private readonly streams = new Map<string, Stream>();

	append(topic: string, bytes: Uint8Array, query: AppendQuery): LogAnswer {
		const stream = this.getStream(topic);
		const end = getEnd(stream);
		const rejection = checkAppend(stream, query);
		if (rejection) {
			return rejection;
		}

		for (const record of splitRecords(bytes)) {
			addRecord(stream, record);
		}

		return {status: statusOk, body: {offset: end, end: getEnd(stream)}};
	}

	/** Appends one keyed record without conditions, as operators and workers do; without a value it deletes the key. */
	put(topic: string, key: string, value: unknown): void {
		const body = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
		addRecord(this.getStream(topic), encodeKeyed(key, body));
	}

	/** Reads one page of the records from an offset on, after waiting up to `waitMs` for a record there. The content is as of the moment when the promise resolves. */
	async read(topic: string, {from, waitMs, maxKb}: ReadQuery): Promise<ReadAnswer> {
		const stream = this.getStream(topic);
		for (let waitedMs = 0; getEnd(stream) <= from && waitedMs < waitMs; waitedMs += pollMs) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		if (from < stream.first) {
			return {type: 'deleted', first: stream.first};
		}

		const head = Buffer.alloc(offsetBytes * 2);
		head.writeBigUInt64BE(BigInt(getEnd(stream)));
		head.writeBigUInt64BE(BigInt(stream.first), offsetBytes);
		const {readBytes} = this.pageLimits;
		const maxBytes = maxKb === undefined ? readBytes : Math.min(readBytes, maxKb * bytesPerKb);
		return {type: 'read', bytes: Buffer.concat([head, ...takePage(stream.records.slice(from - stream.first), maxBytes)])};
	}

	/** One page of the newest record of each key, sorted by key, after a given key. Pages are not a snapshot: each shows the state at its own read. */
	listNewest(topic: string, after?: string): NewestPage {
		const stream = this.getStream(topic);
		const {newestItems, newestBytes} = this.pageLimits;
		const rest = [...stream.newest.values()]
			.filter(({key}) => after === undefined || key > after)
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		const items: Array<NewestPage['items'][number]> = [];
		let bytes = 0;
		for (const {key, value, offset} of rest.slice(0, newestItems)) {
			bytes += key.length + Math.ceil(value.length * base64Factor);
			if (items.length > 0 && bytes > newestBytes) {
				break;
			}

			items.push({key, value: Buffer.from(value).toString('base64'), offset});
		}

		return {items, truncated: items.length < rest.length, end: getEnd(stream)};
	}

	/** Deletes the history of a stream: the newest record of each key remains listed, and reads from offsets before the end are answered with `deleted`. */
	dropHistory(topic: string): void {
		const stream = this.getStream(topic);
		stream.first = getEnd(stream);
		stream.records = [];
	}

	private getStream(topic: string): Stream {
		let stream = this.streams.get(topic);
		if (!stream) {
			stream = {
				records: [], first: 0, newest: new Map(), epochs: new Map(),
			};
			this.streams.set(topic, stream);
		}

		return stream;
	}
}

function getEnd(stream: Stream): number {
	return stream.first + stream.records.length;
}

/** Appends a record; one without a value removes its key from the newest records. */
function addRecord(stream: Stream, record: Uint8Array): void {
	const keyEnd = 1 + record[0]!;
	const key = Buffer.from(record.subarray(1, keyEnd)).toString('utf8');
	stream.newest.delete(key);
	if (record.length > keyEnd) {
		stream.newest.set(key, {key, value: record.subarray(keyEnd), offset: getEnd(stream)});
	}

	stream.records.push(record);
}

/** Whole records, each prefixed with its length, up to a number of bytes; at least one if there is any. */
function takePage(records: readonly Uint8Array[], maxBytes: number): Uint8Array[] {
	const page: Uint8Array[] = [];
	let bytes = 0;
	for (const record of records) {
		bytes += lengthBytes + record.length;
		if (page.length > 0 && bytes > maxBytes) {
			break;
		}

		page.push(addLength(record));
	}

	return page;
}

function checkAppend(stream: Stream, {at, producer, epoch, sequence}: AppendQuery): LogAnswer | undefined {
	const end = getEnd(stream);
	const known = producer === undefined ? undefined : stream.epochs.get(producer);
	if (known && epoch < known.epoch) {
		return {status: statusConflict, body: {reason: 'fenced'}};
	}

	if (known?.epoch === epoch && sequence === known.sequence) {
		return {status: statusOk, body: {offset: end, end}};
	}

	if (known?.epoch === epoch && sequence !== known.sequence + 1) {
		return {status: statusConflict, body: {reason: 'seq', sequence: known.sequence + 1}};
	}

	if (at !== undefined && at !== end) {
		return {status: statusPreconditionFailed, body: {end}};
	}

	if (producer !== undefined) {
		stream.epochs.set(producer, {epoch, sequence});
	}

	return undefined;
}

function encodeKeyed(key: string, value: Uint8Array): Uint8Array {
	return Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value]);
}

function splitRecords(bytes: Uint8Array): Uint8Array[] {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const records: Uint8Array[] = [];
	for (let position = 0; position + lengthBytes <= bytes.length;) {
		const length = view.getUint32(position);
		records.push(bytes.subarray(position + lengthBytes, position + lengthBytes + length));
		position += lengthBytes + length;
	}

	return records;
}

function addLength(record: Uint8Array): Uint8Array {
	const head = Buffer.alloc(lengthBytes);
	head.writeUInt32BE(record.length);
	return Buffer.concat([head, record]);
}
