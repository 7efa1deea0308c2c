/** One call on its way through a route, and the refusal of calls that don't become requests. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Fault, Instant, State} from '@rhubarblever/core';
import {readClock} from '../clock.js';
import type {Settings} from '../settings.js';
import type {EventSink} from '../types.js';
import {sendFault, type CallTable} from './call-table.js';

const comeBackMs = 1000;

/** What the routes work on. */
export type HttpContext = {
	readonly settings: Settings;
	readonly state: State;
	readonly calls: CallTable;
	readonly push: EventSink;
};

/** One call on its way through a route. */
export type Call = {
	readonly context: HttpContext;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	/** What the route's pattern captured from the path. */
	readonly parameter: string;
};

/** Answers a call that did not become a request, and counts it. */
export function refuseCall({push}: HttpContext, response: ServerResponse, fault: Fault): void {
	push({type: 'call/refused', at: readClock(), kind: fault.kind});
	sendFault(response, fault, (readClock() + comeBackMs) as Instant);
}

