/** Calls to the platform over HTTP/JSON: the log and the host list. Faults are values. */
import {
	listedHostSchema, instantSchema, logRecordSchema, offsetSchema, type Fault, type ListedHost, type LoggedRecord, type LogRecord, type Offset,
} from '@rhubarblever/core';
import type {Result} from 'neverthrow';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {parseAnswer, PlatformHttp} from './platform-http.js';

const callTimeoutMs = 3000;
const connections = 16;

/** How many records to read at most, and how long to wait for the first. Unit of `waitMs`: milliseconds. */
export type ReadOptions = {readonly limit: number; readonly waitMs: number};

const pollOptions: ReadOptions = {limit: 500, waitMs: 1000};

/** A record that does not match the envelope keeps its place in the log, so that the fold can go past it. */
const readableRecordSchema = z.object({offset: offsetSchema, at: instantSchema, record: z.unknown()})
	.transform(({offset, at, record}): LoggedRecord => {
		const parsed = logRecordSchema.safeParse(record);
		return {offset, at, record: parsed.success ? parsed.data : createMalformedRecord(offset)};
	});

function createMalformedRecord(offset: Offset): LogRecord {
	return logRecordSchema.parse({
		recordId: `malformed-${offset}`, schema: 'malformed', version: 1, body: null,
	});
}

const logPageSchema = z.object({
	records: z.array(readableRecordSchema),
	firstOffset: offsetSchema,
	nextOffset: offsetSchema,
});
export type LogPage = {
	readonly records: readonly LoggedRecord[];
	readonly firstOffset: Offset;
	readonly nextOffset: Offset;
};

const hostListSchema = z.object({hosts: z.array(listedHostSchema)});

export class PlatformClient {
	static create(address: string): PlatformClient {
		return new PlatformClient(PlatformHttp.create(address, {callTimeoutMs, connections}));
	}

	private constructor(private readonly http: PlatformHttp) {}

	/** Reads records from `from` on; by default waits up to a second for the first. */
	async readLog(stream: string, from: Offset, {limit, waitMs}: ReadOptions = pollOptions): Promise<Result<LogPage, Fault>> {
		const path = `/v1/streams/${stream}/records?from=${from}&limit=${limit}&waitMs=${waitMs}`;
		return this.call('GET', path, undefined, logPageSchema);
	}

	/** Appends records in one call. A fault does not say that they are not in the log. */
	async appendRecords(stream: string, records: readonly LogRecord[]): Promise<Result<unknown, Fault>> {
		return this.call('POST', `/v1/streams/${stream}/records`, {records}, z.unknown());
	}

	async listHosts(): Promise<Result<readonly ListedHost[], Fault>> {
		const result = await this.call('GET', '/v1/hosts', undefined, hostListSchema);
		return result.map(list => list.hosts);
	}

	async close(): Promise<void> {
		await this.http.close();
	}

	private async call<Body>(method: Dispatcher.HttpMethod, path: string, body: unknown, schema: z.ZodType<Body>): Promise<Result<Body, Fault>> {
		const answer = await this.http.call(method, path, body);
		return answer.andThen(found => parseAnswer(found, schema));
	}
}
