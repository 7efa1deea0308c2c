/** Reads a call's body up to a limit. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {createFault, type Fault} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';

/** The whole body, or `payload-too-large` as soon as it passes the limit. */
export async function readBody(message: IncomingMessage, maxBytes: number): Promise<Result<Uint8Array, Fault>> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of message as AsyncIterable<Uint8Array>) {
			size += chunk.byteLength;
			if (size > maxBytes) {
				return err(createFault('payload-too-large', `the limit is ${maxBytes} bytes`));
			}

			chunks.push(chunk);
		}
	} catch {
		return err(createFault('bad-request', 'the body was cut short'));
	}

	return ok(Buffer.concat(chunks));
}
