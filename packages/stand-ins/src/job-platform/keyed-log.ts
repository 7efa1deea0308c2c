/** The users' store, small: streams of keyed records with conditions, writers' epochs and reads that wait. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';

const lengthBytes = 4;
const offsetBytes = 8;
const pollMs = 10;

type Stream = {records: Uint8Array[]; first: number; epochs: Map<string, {epoch: number; sequence: number}>};

/** Conditions of an append, as they stand in the query. */
export type AppendQuery = {readonly at: number | undefined; readonly producer: string | undefined; readonly epoch: number; readonly sequence: number};
export type LogAnswer = {readonly status: number; readonly body: unknown};

const statusOk = 200;
const statusConflict = 409;
const statusMoved = 412;

export class KeyedLog {
	static create(): KeyedLog {
		return new KeyedLog();
	}

	private readonly streams = new Map<string, Stream>();

	append(topic: string, bytes: Uint8Array, query: AppendQuery): LogAnswer {
		const stream = this.getStream(topic);
		const end = stream.records.length;
		const refusal = judgeAppend(stream, query);
		if (refusal) {
			return refusal;
		}

		stream.records.push(...splitRecords(bytes));
		return {status: statusOk, body: {offset: end, end: stream.records.length}};
	}

	/** Writes one keyed record, as operators and workers do. */
	put(topic: string, key: string, value: unknown): void {
		const body = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
		this.getStream(topic).records.push(Buffer.concat([Buffer.from([key.length]), Buffer.from(key), body]));
	}

	/** The end and the first offset, then the records from an offset on; waits for one. */
	async read(topic: string, from: number, waitMs: number): Promise<Uint8Array> {
		const stream = this.getStream(topic);
		for (let waitedMs = 0; stream.records.length <= from && waitedMs < waitMs; waitedMs += pollMs) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		const head = Buffer.alloc(offsetBytes * 2);
		head.writeBigUInt64BE(BigInt(stream.records.length));
		return Buffer.concat([head, ...stream.records.slice(from).map(record => addLength(record))]);
	}

	/** The newest record of each key. */
	listNewest(topic: string): unknown {
		const stream = this.getStream(topic);
		const newest = new Map<string, {key: string; value: string; offset: number}>();
		for (const [offset, record] of stream.records.entries()) {
			const keyEnd = 1 + record[0]!;
			const key = Buffer.from(record.subarray(1, keyEnd)).toString('utf8');
			newest.delete(key);
			if (record.length > keyEnd) {
				newest.set(key, {key, value: Buffer.from(record.subarray(keyEnd)).toString('base64'), offset});
			}
		}

		return {items: [...newest.values()], truncated: false, end: stream.records.length};
	}

	private getStream(topic: string): Stream {
		let stream = this.streams.get(topic);
		if (!stream) {
			stream = {records: [], first: 0, epochs: new Map()};
			this.streams.set(topic, stream);
		}

		return stream;
	}
}

function judgeAppend(stream: Stream, {at, producer, epoch, sequence}: AppendQuery): LogAnswer | undefined {
	const writer = producer === undefined ? undefined : stream.epochs.get(producer);
	if (writer && epoch < writer.epoch) {
		return {status: statusConflict, body: {reason: 'fenced'}};
	}

	if (writer?.epoch === epoch && sequence === writer.sequence) {
		return {status: statusOk, body: {offset: stream.records.length, end: stream.records.length}};
	}

	if (writer?.epoch === epoch && sequence !== writer.sequence + 1) {
		return {status: statusConflict, body: {reason: 'seq', sequence: writer.sequence + 1}};
	}

	if (at !== undefined && at !== stream.records.length) {
		return {status: statusMoved, body: {end: stream.records.length}};
	}

	if (producer !== undefined) {
		stream.epochs.set(producer, {epoch, sequence});
	}

	return undefined;
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
