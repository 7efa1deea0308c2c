/** The users' store, small: streams of keyed records with conditions, writers' epochs, reads that wait, answers in pages, and history that is dropped. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';

const lengthBytes = 4;
const offsetBytes = 8;
const pollMs = 10;
const bytesPerKb = 1024;
const base64Factor = 4 / 3;

type NewestRecord = {readonly key: string; readonly value: Uint8Array; readonly offset: number};
/** `records` are those from the offset `first` on; the newest of each key is kept even when its record is dropped. */
type Stream = {records: Uint8Array[]; first: number; readonly newest: Map<string, NewestRecord>; readonly epochs: Map<string, {epoch: number; sequence: number}>};

/** Conditions of an append, as they stand in the query. */
export type AppendQuery = {readonly at: number | undefined; readonly producer: string | undefined; readonly epoch: number; readonly sequence: number};
export type LogAnswer = {readonly status: number; readonly body: unknown};

/** What a read asks for; without `maxKb` the store's own limit holds. */
export type ReadQuery = {readonly from: number; readonly waitMs: number; readonly maxKb?: number | undefined};
/** `bytes`: the end and the first offset, then one page of records. */
export type ReadAnswer = {readonly type: 'read'; readonly bytes: Uint8Array} | {readonly type: 'deleted'; readonly first: number};

/** What fits into one answer, however much is asked for; a page has at least one record. */
export type PageLimits = {readBytes: number; newestItems: number; newestBytes: number};

export type NewestPage = {
	readonly items: ReadonlyArray<{readonly key: string; readonly value: string; readonly offset: number}>;
	readonly truncated: boolean;
	readonly end: number;
};

const statusOk = 200;
const statusConflict = 409;
const statusMoved = 412;

/** The limits of the users' store. */
export function createPageLimits(): PageLimits {
	return {readBytes: bytesPerKb * bytesPerKb, newestItems: 500, newestBytes: bytesPerKb * bytesPerKb};
}

export class KeyedLog {
	static create(): KeyedLog {
		return new KeyedLog();
	}

	/** Tests make pages small by these. */
	readonly pageLimits = createPageLimits();
	private readonly streams = new Map<string, Stream>();

	append(topic: string, bytes: Uint8Array, query: AppendQuery): LogAnswer {
		const stream = this.getStream(topic);
		const end = getEnd(stream);
		const refusal = judgeAppend(stream, query);
		if (refusal) {
			return refusal;
		}

		for (const record of splitRecords(bytes)) {
			addRecord(stream, record);
		}

		return {status: statusOk, body: {offset: end, end: getEnd(stream)}};
	}

	/** Writes one keyed record, as operators and workers do. */
	put(topic: string, key: string, value: unknown): void {
		const body = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
		addRecord(this.getStream(topic), encodeKeyed(key, body));
	}

	/** The end and the first offset, then one page of the records from an offset on; waits for one. The content is as of the moment when this resolves. */
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
		const mostBytes = maxKb === undefined ? readBytes : Math.min(readBytes, maxKb * bytesPerKb);
		return {type: 'read', bytes: Buffer.concat([head, ...takePage(stream.records.slice(from - stream.first), mostBytes)])};
	}

	/** One page of the newest records, in the order of their keys, after a key; each page is as of its own moment. */
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

	/** Deletes the history of a stream: the newest record of each key stays known, and reads from offsets before the end are told that it is gone. */
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

/** A record without a value drops its key. */
function addRecord(stream: Stream, record: Uint8Array): void {
	const keyEnd = 1 + record[0]!;
	const key = Buffer.from(record.subarray(1, keyEnd)).toString('utf8');
	stream.newest.delete(key);
	if (record.length > keyEnd) {
		stream.newest.set(key, {key, value: record.subarray(keyEnd), offset: getEnd(stream)});
	}

	stream.records.push(record);
}

/** Whole records, each with its length, up to a number of bytes; at least one. */
function takePage(records: readonly Uint8Array[], mostBytes: number): Uint8Array[] {
	const page: Uint8Array[] = [];
	let bytes = 0;
	for (const record of records) {
		bytes += lengthBytes + record.length;
		if (page.length > 0 && bytes > mostBytes) {
			break;
		}

		page.push(addLength(record));
	}

	return page;
}

function judgeAppend(stream: Stream, {at, producer, epoch, sequence}: AppendQuery): LogAnswer | undefined {
	const end = getEnd(stream);
	const writer = producer === undefined ? undefined : stream.epochs.get(producer);
	if (writer && epoch < writer.epoch) {
		return {status: statusConflict, body: {reason: 'fenced'}};
	}

	if (writer?.epoch === epoch && sequence === writer.sequence) {
		return {status: statusOk, body: {offset: end, end}};
	}

	if (writer?.epoch === epoch && sequence !== writer.sequence + 1) {
		return {status: statusConflict, body: {reason: 'seq', sequence: writer.sequence + 1}};
	}

	if (at !== undefined && at !== end) {
		return {status: statusMoved, body: {end}};
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
