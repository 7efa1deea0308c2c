/** Streams a target's answer to a caller. The last part is held back until the answer is known to be whole. */
import type {ServerResponse} from 'node:http';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import type {Dispatcher} from 'undici';

const passedHeaders = ['content-type', 'content-length'];

/** `isWhole` is also true when the caller left: the target did its part. `hasBegun`: the caller has part of the answer. */
export type PassedAnswer = {readonly isWhole: boolean; readonly hasBegun: boolean};

/** Passes an answer on; a response that has begun and cannot be finished is cut, so that its caller sees it as cut. */
export async function sendAnswer(response: ServerResponse, answer: Dispatcher.ResponseData, isClean: () => boolean): Promise<PassedAnswer> {
	try {
		const last = await sendAllButLast(response, answer);
		await waitForSocketEvents();
		if (isClean()) {
			applyHead(response, answer);
			await finishResponse(response, last);
			return {isWhole: true, hasBegun: true};
		}
	} catch {
		// The answer was cut short: told below.
	}

	const hasBegun = response.headersSent;
	if (hasBegun) {
		response.destroy();
	}

	return {isWhole: false, hasBegun};
}

/** A socket that is closed for stray bytes tells so only after the event loop's closing phase: at the second turn. */
async function waitForSocketEvents(): Promise<void> {
	await waitForTurn();
	await waitForTurn();
}

async function sendAllButLast(response: ServerResponse, answer: Dispatcher.ResponseData): Promise<Uint8Array | undefined> {
	let held: Uint8Array | undefined;
	for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
		if (held) {
			applyHead(response, answer);
			await writeChunk(response, held);
		}

		if (response.destroyed) {
			return undefined;
		}

		held = chunk;
	}

	return held;
}

function applyHead(response: ServerResponse, answer: Dispatcher.ResponseData): void {
	if (response.headersSent) {
		return;
	}

	response.statusCode = answer.statusCode;
	for (const name of passedHeaders) {
		const value = answer.headers[name];
		if (value !== undefined) {
			response.setHeader(name, value);
		}
	}
}

/** Resolves when the caller can take more, or has left. */
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

/** Resolves when the answer was handed to the operating system, or the caller has left. */
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
