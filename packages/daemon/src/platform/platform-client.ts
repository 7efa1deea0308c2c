/** Calls to the platform over HTTP/JSON: the log and the host list. Failures are returned as faults, not thrown. */
import {
	listedHostSchema, instantSchema, logRecordSchema, offsetSchema, type Fault, type ListedHost, type LoggedRecord, type LogRecord, type Offset,
} from '@rhubarblever/core';
import {ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {readClock} from '../clock.js';
import {
	notModifiedStatus, parseAnswer, PlatformHttp, type PlatformCall,
} from './platform-http.js';

const callTimeoutMs = 3000;
/** Timeout of calls while the platform is slow. */
const slowCallTimeoutMs = 10_000;
/** A read that takes longer than its `waitMs` plus this time marks the platform as slow. */
const slowReadThresholdMs = 1500;
const connections = 16;

/** `limit`: maximum number of records. `waitMs`: how long the platform waits for the first record, in milliseconds. */
export type ReadOptions = {readonly limit: number; readonly waitMs: number};

const pollOptions: ReadOptions = {limit: 500, waitMs: 1000};

/** Replaces a record that does not match the schema by a malformed one at the same offset, so that the state machine can skip it. */
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
		return new PlatformClient(PlatformHttp.create(address, {callTimeoutMs: slowCallTimeoutMs, connections}));
	}

	private isSlow = false;
	private cachedHosts: {readonly tag: string | undefined; readonly hosts: readonly ListedHost[]} | undefined;

	private constructor(private readonly http: PlatformHttp) {}

	/**
	 * Reads records from offset `from` on; by default, waits up to a second for the first record.
	 * After a read that failed or was slow, the next read does not wait and all calls have a longer timeout, so that reading also works with a slow platform.
	 */
	async readLog(stream: string, from: Offset, options: ReadOptions = pollOptions): Promise<Result<LogPage, Fault>> {
		const waitMs = this.isSlow ? 0 : options.waitMs;
		const startedAt = readClock();
		const result = await this.call<LogPage>({
			method: 'GET',
			path: `/v1/streams/${stream}/records?from=${from}&limit=${options.limit}&waitMs=${waitMs}`,
		}, logPageSchema);
		this.isSlow = result.isErr() || readClock() - startedAt > waitMs + slowReadThresholdMs;
		return result;
	}

	/** Appends records in one call. After a fault, the records may still be in the log. */
	async appendRecords(stream: string, records: readonly LogRecord[]): Promise<Result<unknown, Fault>> {
		return this.call({method: 'POST', path: `/v1/streams/${stream}/records`, body: {records}}, z.unknown());
	}

	/** Fetches the host list. Sends the last ETag, so that a platform that supports ETags does not send an unchanged list again. */
	async listHosts(): Promise<Result<readonly ListedHost[], Fault>> {
		const cached = this.cachedHosts;
		const answer = await this.http.call({
			method: 'GET', path: '/v1/hosts', timeoutMs: this.timeoutMs, knownTag: cached?.tag,
		});
		return answer.andThen(found => {
			if (found.status === notModifiedStatus && cached) {
				return ok(cached.hosts);
			}

			return parseAnswer(found, hostListSchema).map(({hosts}) => {
				this.cachedHosts = {tag: found.tag, hosts};
				return hosts;
			});
		});
	}

	async close(): Promise<void> {
		await this.http.close();
	}

	private get timeoutMs(): number {
		return this.isSlow ? slowCallTimeoutMs : callTimeoutMs;
	}

	private async call<Body>(call: PlatformCall, schema: z.ZodType<Body>): Promise<Result<Body, Fault>> {
		const answer = await this.http.call({...call, timeoutMs: this.timeoutMs});
		return answer.andThen(found => parseAnswer(found, schema));
	}
}
