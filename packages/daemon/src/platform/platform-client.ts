/** Calls to the platform over HTTP/JSON: the log and the host list. Faults are values. */
import {
	createFault, listedHostSchema, instantSchema, logRecordSchema, offsetSchema, type Fault, type ListedHost, type LoggedRecord, type LogRecord, type Offset,
} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import {Agent, request, type Dispatcher} from 'undici';
import {z} from 'zod';

const callTimeoutMs = 3000;

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
		return new PlatformClient(`http://${address}`);
	}

	private readonly agent = new Agent({connections: 16, headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs});

	private constructor(private readonly baseUrl: string) {}

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
		await this.agent.destroy();
	}

	private async call<Body>(method: Dispatcher.HttpMethod, path: string, body: unknown, schema: z.ZodType<Body>): Promise<Result<Body, Fault>> {
		try {
			const response = await request(this.baseUrl + path, {
				method,
				body: body === undefined ? undefined : JSON.stringify(body),
				headers: {'content-type': 'application/json'},
				dispatcher: this.agent,
				signal: AbortSignal.timeout(callTimeoutMs),
			});
			const answer: unknown = await response.body.json();
			if (response.statusCode >= 300) {
				return err(createFault('log-unavailable', `the platform answered ${response.statusCode}`));
			}

			const parsed = schema.safeParse(answer);
			return parsed.success ? ok(parsed.data) : err(createFault('log-unavailable', 'the platform answered in an unknown shape'));
		} catch (error) {
			return err(createFault('log-unavailable', (error as Error).message));
		}
	}
}
