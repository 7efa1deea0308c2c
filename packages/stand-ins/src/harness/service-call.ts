/** Calls a service as a caller does, and describes the answer that the caller gets. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {isOwnAnswer} from '../target/answer.js';
import type {AnswerFault} from '../target/work.js';

export type ServiceCall = {
	/** `ip:port` of an entry host. */
	readonly address: string;
	readonly service: string;
	/** A random id by default. */
	readonly requestId?: string;
	readonly work: {readonly runMs: number; readonly fault?: AnswerFault | undefined};
	/** Milliseconds from now; without it the entry host's default applies. */
	readonly deadlineMs?: number;
	readonly workClass?: string;
	readonly isIdempotent?: boolean;
};

/**
 * `isOwn`: the complete answer that belongs to this request. `isNotRun`: the answer says that no target ran the request.
 * `status` is 0 if the connection failed.
 */
export type ObservedAnswer = {
	readonly requestId: string;
	readonly isIdempotent: boolean;
	readonly status: number;
	readonly isOwn: boolean;
	readonly isNotRun: boolean;
	/** The body of an unsuccessful answer, or the connection error; empty on success. */
	readonly detail: string;
	readonly tookMs: number;
};

type Answer = Pick<ObservedAnswer, 'status' | 'isOwn' | 'isNotRun' | 'detail'>;

/** Makes a call; never throws: connection errors are reported in `detail`. */
export async function callService(call: ServiceCall): Promise<ObservedAnswer> {
	const {requestId = randomUUID(), isIdempotent = false} = call;
	const startedAt = Date.now();
	const answer = await sendCall(call, requestId, startedAt).catch((error: unknown): Answer => ({
		status: 0, isOwn: false, isNotRun: false, detail: String((error as Error).cause ?? error),
	}));
	return {
		...answer, requestId, isIdempotent, tookMs: Date.now() - startedAt,
	};
}

async function sendCall({address, service, work, deadlineMs, workClass, isIdempotent}: ServiceCall, requestId: string, startedAt: number): Promise<Answer> {
	const body = Buffer.from(JSON.stringify(work));
	const response = await fetch(`http://${address}/v1/services/${service}`, {
		method: 'POST',
		body,
		headers: {
			'idempotency-key': requestId,
			...workClass === undefined ? {} : {'rhubarblever-class': workClass},
			...isIdempotent === undefined ? {} : {'rhubarblever-idempotent': String(isIdempotent)},
			...deadlineMs === undefined ? {} : {'rhubarblever-deadline': new Date(startedAt + deadlineMs).toISOString()},
		},
	});
	const bytes = new Uint8Array(await response.arrayBuffer());
	return {
		status: response.status,
		isOwn: response.ok && isOwnAnswer(bytes, requestId, body),
		isNotRun: response.headers.get('rhubarblever-not-run') === 'true',
		detail: response.ok ? '' : Buffer.from(bytes).toString('utf8'),
	};
}
