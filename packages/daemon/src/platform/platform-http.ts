/** HTTP/JSON calls to the platform, shared by its clients. Failures are returned as faults, not thrown. */
import {createFault, type Fault} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import {Agent, request, type Dispatcher} from 'undici';
import type {z} from 'zod';

const firstErrorStatus = 300;
export const notModifiedStatus = 304;

/** An answer of any status, with its body parsed as JSON; `tag` is its ETag. */
export type PlatformAnswer = {readonly status: number; readonly body: unknown; readonly tag?: string | undefined};

/** One call; `timeoutMs` may shorten the timeout of the client. */
export type PlatformCall = {
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	readonly body?: unknown;
	readonly timeoutMs?: number;
	/** ETag of an answer that the caller already has: if it is unchanged, the answer has status 304 and no body. */
	readonly knownTag?: string | undefined;
};

/** Maximum duration of a call and maximum number of connections. */
export type PlatformHttpOptions = {readonly callTimeoutMs: number; readonly connections: number};

export class PlatformHttp {
	static create(address: string, options: PlatformHttpOptions): PlatformHttp {
		return new PlatformHttp(`http://${address}`, options);
	}

	private readonly agent: Agent;

	private constructor(private readonly baseUrl: string, private readonly options: PlatformHttpOptions) {
		const {connections, callTimeoutMs} = options;
		this.agent = new Agent({connections, headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs});
	}

	/** Makes one call. After a fault, the call may still have had an effect. */
	async call({
		method, path, body, timeoutMs, knownTag,
	}: PlatformCall): Promise<Result<PlatformAnswer, Fault>> {
		try {
			const response = await request(this.baseUrl + path, {
				method,
				body: body === undefined ? undefined : JSON.stringify(body),
				headers: {'content-type': 'application/json', ...knownTag === undefined ? {} : {'if-none-match': knownTag}},
				dispatcher: this.agent,
				signal: AbortSignal.timeout(timeoutMs ?? this.options.callTimeoutMs),
			});
			return ok(await readAnswer(response));
		} catch (error) {
			return err(createFault('log-unavailable', (error as Error).message));
		}
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}
}

async function readAnswer({statusCode, headers, body}: Dispatcher.ResponseData): Promise<PlatformAnswer> {
	if (statusCode === notModifiedStatus) {
		await body.dump();
		return {status: statusCode, body: undefined};
	}

	const tag = typeof headers.etag === 'string' ? headers.etag : undefined;
	return {status: statusCode, body: await body.json(), tag};
}

/** Returns the validated body of a successful answer; an error status or an invalid body is a fault. */
export function parseAnswer<Body>(answer: PlatformAnswer, schema: z.ZodType<Body>): Result<Body, Fault> {
	if (answer.status >= firstErrorStatus) {
		return err(createFault('log-unavailable', `the platform answered ${answer.status}`));
	}

	const parsed = schema.safeParse(answer.body);
	return parsed.success ? ok(parsed.data) : err(createFault('log-unavailable', 'the platform answered in an unknown shape'));
}
