/** The expected answer to a request: a digest of its id and body, repeated up to the requested length. A caller can thereby detect the answer to another request. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** The digest of a request's id and body, as 64 hexadecimal digits. */
export function computeAnswer(requestId: string, body: Uint8Array): string {
	return createHash('sha256').update(requestId).update(body).digest('hex');
}

/** The complete answer: the digest, repeated up to `answerBytes` bytes if that is longer than the digest. */
export function createAnswer(requestId: string, body: Uint8Array, answerBytes = 0): Uint8Array {
	const digest = computeAnswer(requestId, body);
	return Buffer.alloc(Math.max(digest.length, answerBytes), digest);
}

/** Whether an answer is the complete answer to this request. */
export function isOwnAnswer(answer: Uint8Array, requestId: string, body: Uint8Array, answerBytes = 0): boolean {
	return Buffer.from(answer).equals(createAnswer(requestId, body, answerBytes));
}
