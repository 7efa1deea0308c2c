/** Streams a target's answer to a caller. The last chunk is sent only after the answer is known to be complete. */
import type {ServerResponse} from 'node:http';
import {setImmediate as waitForNextTurn} from 'node:timers/promises';
import type {Dispatcher} from 'undici';

const forwardedHeaders = ['content-type', 'content-length'];

/** `isComplete` is also true if the caller disconnected, since the target did not fail. `hasBegun`: part of the answer was sent to the caller. */
export type AnswerTransfer = {readonly isComplete: boolean; readonly hasBegun: boolean};

/** Streams an answer. If it turns out incomplete after the response has begun, closes the connection, so that the caller notices. */
export async function sendAnswer(response: ServerResponse, answer: Dispatcher.ResponseData, hasNoStrayBytes: () => boolean): Promise<AnswerTransfer> {
	try {
		const lastChunk = await sendAllButLastChunk(response, answer);
		await waitForSocketEvents();
		if (hasNoStrayBytes()) {
			applyHead(response, answer);
			await finishResponse(response, lastChunk);
			return {isComplete: true, hasBegun: true};
		}
	} catch {
		// The target's answer was cut off; handled below.
	}

	const hasBegun = response.headersSent;
	if (hasBegun) {
		response.destroy();
	}

	return {isComplete: false, hasBegun};
}

/** A socket that is closed because of stray bytes reports this after the closing phase of Node's event loop, hence two turns. */
async function waitForSocketEvents(): Promise<void> {
	await waitForNextTurn();
	await waitForNextTurn();
}

async function sendAllButLastChunk(response: ServerResponse, answer: Dispatcher.ResponseData): Promise<Uint8Array | undefined> {
	let pendingChunk: Uint8Array | undefined;
	for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
		if (pendingChunk) {
			applyHead(response, answer);
			await writeChunk(response, pendingChunk);
		}

		if (response.destroyed) {
			return undefined;
		}

		pendingChunk = chunk;
	}

	return pendingChunk;
}

function applyHead(response: ServerResponse, answer: Dispatcher.ResponseData): void {
	if (response.headersSent) {
		return;
	}

	response.statusCode = answer.statusCode;
	for (const name of forwardedHeaders) {
		const value = answer.headers[name];
		if (value !== undefined) {
			response.setHeader(name, value);
		}
	}
}

/** Writes a chunk. Resolves when the response can buffer more or the caller has disconnected. */
async function writeChunk(response: ServerResponse, chunk: Uint8Array): Promise<void> {
	if (response.destroyed || response.write(chunk)) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			response.off('drain', finish);
			response.off('close', finish);
			resolve();
		};

		response.once('drain', finish);
		response.once('close', finish);
	});
}

/** Ends the response. Resolves when all of it was handed to the operating system or the caller has disconnected. */
async function finishResponse(response: ServerResponse, last: Uint8Array | undefined): Promise<void> {
	if (response.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		response.once('finish', resolve);
		response.once('close', resolve);
		response.end(last);
	});
}
