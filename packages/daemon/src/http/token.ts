/** Checks the bearer tokens of operators and peers. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {timingSafeEqual} from 'node:crypto';

/** Whether a call has this bearer token. Compares in constant time, so that the timing does not reveal the token. */
export function hasToken(request: IncomingMessage, token: string): boolean {
	const actual = Buffer.from(request.headers.authorization ?? '');
	const expected = Buffer.from(`Bearer ${token}`);
	return actual.length === expected.length && timingSafeEqual(actual, expected);
}

