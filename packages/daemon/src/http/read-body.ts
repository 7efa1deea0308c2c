/** Reads the body of a call, up to a size limit. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {createFault, type Fault} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';

/**
 * Returns the whole body, or the fault `payload-too-large` as soon as the limit is exceeded. The rest of such a body is
 * read and discarded, so that the connection can carry the caller's next request.
 */
export async function readBody(message: IncomingMessage, maxBytes: number): Promise<Result<Uint8Array, Fault>> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of message.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			size += chunk.byteLength;
			if (size > maxBytes) {
				break;
			}

			chunks.push(chunk);
		}
	} catch {
		return err(createFault('bad-request', 'the body was cut short'));
	}

	if (size > maxBytes) {
		message.resume();
		return err(createFault('payload-too-large', `the limit is ${maxBytes} bytes`));
	}

	return ok(Buffer.concat(chunks));
}
