/** Types that the HTTP routes share, and the refusal of calls before they enter the call table. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Fault, Instant, State} from '@rhubarblever/core';
import {readClock} from '../clock.js';
import type {Settings} from '../settings.js';
import type {EventSink} from '../types.js';
import {sendFault, type CallTable} from './call-table.js';

const retryAfterMs = 1000;

/** The components that the routes use. */
export type HttpContext = {
	readonly settings: Settings;
	readonly state: State;
	readonly calls: CallTable;
	readonly push: EventSink;
};

/** One HTTP call that a route handles. */
export type Call = {
	readonly context: HttpContext;
	readonly request: IncomingMessage;
	readonly body: Uint8Array;
	readonly response: ServerResponse;
	/** The first capture group of the route's pattern, empty if it has none. */
	readonly parameter: string;
};

/** Answers a call that does not enter the call table with a fault, and pushes the event that counts the refusal. */
export function refuseCall({push}: HttpContext, response: ServerResponse, fault: Fault): void {
	push({type: 'call/refused', at: readClock(), kind: fault.kind});
	sendFault(response, fault, (readClock() + retryAfterMs) as Instant);
}

