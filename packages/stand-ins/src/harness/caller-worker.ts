/** The script of a caller thread: makes the calls that it receives and posts their answers. */
import {parentPort} from 'node:worker_threads';
import type {CallerReply, CallerRequest} from './caller-thread.js';
import {callService} from './service-call.js';

async function answer({callNumber, call}: CallerRequest): Promise<void> {
	const reply: CallerReply = {callNumber, seen: await callService(call)};
	parentPort?.postMessage(reply);
}

parentPort?.on('message', (request: CallerRequest) => {
	void answer(request);
});
