/** Calls to the platform over HTTP/JSON: the log and the host list. Faults are values. */
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
/** While the platform is slow, calls may take this long. */
const slowCallTimeoutMs = 10_000;
/** A read that took longer than this beyond its wait makes the platform count as slow. */
const slowAnswerMs = 1500;
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
		return new PlatformClient(PlatformHttp.create(address, {callTimeoutMs: slowCallTimeoutMs, connections}));
	}

	private isSlow = false;
	private latestHosts: {readonly tag: string | undefined; readonly hosts: readonly ListedHost[]} | undefined;

	private constructor(private readonly http: PlatformHttp) {}

	/**
	 * Reads records from `from` on; by default waits up to a second for the first.
	 * After a read that failed or was slow, reads don't wait and all calls have more time, so that a slow platform can still be followed.
	 */
	async readLog(stream: string, from: Offset, options: ReadOptions = pollOptions): Promise<Result<LogPage, Fault>> {
		const waitMs = this.isSlow ? 0 : options.waitMs;
		const startedAt = readClock();
		const result = await this.call<LogPage>({
			method: 'GET',
			path: `/v1/streams/${stream}/records?from=${from}&limit=${options.limit}&waitMs=${waitMs}`,
		}, logPageSchema);
		this.isSlow = result.isErr() || readClock() - startedAt > waitMs + slowAnswerMs;
		return result;
	}

	/** Appends records in one call. A fault does not say that they are not in the log. */
	async appendRecords(stream: string, records: readonly LogRecord[]): Promise<Result<unknown, Fault>> {
		return this.call({method: 'POST', path: `/v1/streams/${stream}/records`, body: {records}}, z.unknown());
	}

	/** The host list; while it is as it was, a platform that knows ETags sends it once only. */
	async listHosts(): Promise<Result<readonly ListedHost[], Fault>> {
		const answer = await this.http.call({
			method: 'GET', path: '/v1/hosts', timeoutMs: this.timeoutMs, knownTag: this.latestHosts?.tag,
		});
		return answer.andThen(found => {
			if (found.status === notModifiedStatus && this.latestHosts) {
				return ok(this.latestHosts.hosts);
			}

			return parseAnswer(found, hostListSchema).map(({hosts}) => {
				this.latestHosts = {tag: found.tag, hosts};
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
