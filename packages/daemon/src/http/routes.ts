/** The daemon's HTTP routes, by method and path. */
import {isClaimsReady, describeBurn, isReady as isStateReady} from '@rhubarblever/core';
import type {Call} from './call.js';
import {sendJson} from './call-table.js';
import {describeEntryHosts} from './entry-hosts-view.js';
import {describeFleet} from './fleet-view.js';
import {answerInForce} from './in-force.js';
import {receiveRecords} from './receive-records.js';
import {receiveRequest} from './receive-request.js';

export type Route = {
	readonly method: string;
	readonly pattern: RegExp;
	readonly access: 'open' | 'operator';
	readonly handle: (call: Call) => Promise<void> | void;
};

export const routes: readonly Route[] = [
	{
		method: 'GET', pattern: /^\/healthz$/, access: 'open', handle: answerHealth,
	},
	{
		method: 'GET', pattern: /^\/readyz$/, access: 'open', handle: answerReadiness,
	},
	{
		method: 'POST', pattern: /^\/v1\/services\/([^/]+)$/, access: 'open', handle: receiveRequest,
	},
	{
		method: 'POST', pattern: /^\/v1\/records$/, access: 'operator', handle: receiveRecords,
	},
	{
		method: 'GET', pattern: /^\/v1\/fleet$/, access: 'operator', handle: answerFleet,
	},
	{
		method: 'GET', pattern: /^\/v1\/entry-hosts$/, access: 'operator', handle: answerEntryHosts,
	},
	{
		method: 'GET', pattern: /^\/v1\/in-force$/, access: 'operator', handle: answerInForce,
	},
	{
		method: 'GET', pattern: /^\/v1\/burn$/, access: 'operator', handle: answerBurn,
	},
];

function answerHealth({response}: Call): void {
	sendJson(response, 200, {status: 'ok'});
}

function answerReadiness({context, response}: Call): void {
	const isReady = isStateReady(context.state) && isClaimsReady(context.state);
	sendJson(response, isReady ? 200 : 503, {isReady});
}

function answerEntryHosts({context, response}: Call): void {
	sendJson(response, 200, describeEntryHosts(context.state));
}

function answerBurn({context, response}: Call): void {
	sendJson(response, 200, describeBurn(context.state));
}

function answerFleet({context, response}: Call): void {
	sendJson(response, 200, describeFleet(context.state));
}
