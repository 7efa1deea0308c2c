/** Receives a caller's request and passes it to the event loop. */
import {readClock} from '../clock.js';
import {refuseCall, type Call} from './call.js';
import {createCallerRequest, readRequestHead} from './caller-request.js';

/** POST /v1/services/:service */
export function receiveRequest({
	context, request, body, response, parameter,
}: Call): void {
	const head = readRequestHead(parameter, request.headers, readClock());
	if (head.isErr()) {
		refuseCall(context, response, head.error);
		return;
	}

	const callerKey = context.calls.register(body, response);
	response.once('close', () => {
		if (!response.writableFinished) {
			context.push({type: 'caller/gone', at: readClock(), callerKey});
		}
	});
	context.push({type: 'request/arrived', at: readClock(), request: createCallerRequest(head.value, callerKey)});
}

