/** Tokens of operators and peers. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {timingSafeEqual} from 'node:crypto';

/** Whether a call shows a token, compared in constant time. */
export function hasToken(request: IncomingMessage, token: string): boolean {
	const shown = Buffer.from(request.headers.authorization ?? '');
	const expected = Buffer.from(`Bearer ${token}`);
	return shown.length === expected.length && timingSafeEqual(shown, expected);
}

