/** The answer that belongs to a request: a digest of its id and body, repeated up to the length that the work asks for. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** The digest of a request's id and body, as 64 hexadecimal digits. */
export function computeAnswer(requestId: string, body: Uint8Array): string {
	return createHash('sha256').update(requestId).update(body).digest('hex');
}

/** The whole answer: the digest, repeated to `answerBytes` bytes if it is shorter. */
export function createAnswer(requestId: string, body: Uint8Array, answerBytes = 0): Uint8Array {
	const digest = computeAnswer(requestId, body);
	return Buffer.alloc(Math.max(digest.length, answerBytes), digest);
}

/** Whether an answer is the whole one of this request. */
export function isOwnAnswer(answer: Uint8Array, requestId: string, body: Uint8Array, answerBytes = 0): boolean {
	return Buffer.from(answer).equals(createAnswer(requestId, body, answerBytes));
}
