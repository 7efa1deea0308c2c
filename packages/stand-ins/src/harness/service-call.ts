/** One call of a service as a caller makes it, and what the caller sees. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {isOwnAnswer} from '../target/answer.js';
import type {AnswerFault} from '../target/work.js';

export type ServiceCall = {
	/** `ip:port` of an entry host. */
	readonly address: string;
	readonly service: string;
	/** A new one if missing. */
	readonly requestId?: string;
	readonly work: {readonly runMs: number; readonly fault?: AnswerFault | undefined};
	/** From now, in milliseconds; the entry host's own if missing. */
	readonly deadlineMs?: number;
	readonly workClass?: string;
	readonly isIdempotent?: boolean;
};

/** `isOwn`: the whole answer to its own request. `status` is 0 where the connection broke. */
export type ObservedAnswer = {
	readonly requestId: string;
	readonly isIdempotent: boolean;
	readonly status: number;
	readonly isOwn: boolean;
	readonly isNotRun: boolean;
	/** The body of an answer that is no success, or why the connection broke. */
	readonly detail: string;
	readonly tookMs: number;
};

type Answer = Pick<ObservedAnswer, 'status' | 'isOwn' | 'isNotRun' | 'detail'>;

/** Makes a call; never throws. */
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
