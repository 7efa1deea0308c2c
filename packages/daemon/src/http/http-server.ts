/** The daemon's HTTP side: callers, operators and health checks, by a table of routes. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {timingSafeEqual} from 'node:crypto';
import {
	canClaim, createFault, decodeBody, describeBurn, isReady as isStateReady, logRecordSchema, type Fault, type Instant, type State,
} from '@rhubarblever/core';
import {z} from 'zod';
import {readClock} from '../clock.js';
import type {Settings, SocketAddress} from '../settings.js';
import type {EventSink} from '../types.js';
import {sendFault, sendJson, type CallTable} from './call-table.js';
import {createCallerRequest, readRequestHead} from './caller-request.js';
import {readBody} from './read-body.js';
import {describeEntryHosts} from './entry-hosts-view.js';
import {describeFleet} from './fleet-view.js';
import {answerInForce} from './in-force.js';

const publishTimeoutMs = 5000;
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

type Route = {
	readonly method: string;
	readonly pattern: RegExp;
	readonly access: 'open' | 'operator';
	readonly handle: (call: Call) => Promise<void> | void;
};

const routes: readonly Route[] = [
	{
		method: 'GET', pattern: /^\/healthz$/, access: 'open', handle: answerHealth,
	},
	{
		method: 'GET', pattern: /^\/readyz$/, access: 'open', handle: answerReadiness,
	},
	{
		method: 'POST', pattern: /^\/v1\/services\/([^/]+)$/, access: 'open', handle: takeRequest,
	},
	{
		method: 'POST', pattern: /^\/v1\/records$/, access: 'operator', handle: takeRecords,
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

/** Makes the server; it does not listen yet. */
export function createHttpServer(context: HttpContext): Server {
	return createServer((request, response) => {
		void answerCall(context, request, response);
	});
}

/** Starts to listen. */
export async function startListening(server: Server, address: SocketAddress): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.ip, resolve);
	});
}

async function answerCall(context: HttpContext, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		await routeCall(context, request, response);
	} catch (error) {
		refuse(context, response, createFault('internal', (error as Error).message));
	}
}

async function routeCall(context: HttpContext, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const path = readPath(request);
	const route = routes.find(candidate => candidate.method === request.method && candidate.pattern.test(path));
	if (!route) {
		refuse(context, response, createFault('not-found', `${request.method} ${path}`));
		return;
	}

	if (route.access === 'operator' && !hasToken(request, context.settings.operatorToken)) {
		refuse(context, response, createFault('unauthorized', 'operators show their token as Authorization: Bearer'));
		return;
	}

	await route.handle({
		context, request, response, parameter: route.pattern.exec(path)?.[1] ?? '',
	});
}

/** The path of a call without its query. Not every request target is a URL, so none is made of it. */
function readPath(request: IncomingMessage): string {
	return (request.url ?? '/').split('?', 1)[0] ?? '/';
}

/** Whether a call shows a token, compared in constant time. */
export function hasToken(request: IncomingMessage, token: string): boolean {
	const shown = Buffer.from(request.headers.authorization ?? '');
	const expected = Buffer.from(`Bearer ${token}`);
	return shown.length === expected.length && timingSafeEqual(shown, expected);
}

/** Answers a call that did not become a request, and counts it. */
function refuse({push}: HttpContext, response: ServerResponse, fault: Fault): void {
	push({type: 'call/refused', at: readClock(), kind: fault.kind});
	sendFault(response, fault, (readClock() + comeBackMs) as Instant);
}

function answerHealth({response}: Call): void {
	sendJson(response, 200, {status: 'ok'});
}

function answerReadiness({context, response}: Call): void {
	const isReady = isStateReady(context.state) && canClaim(context.state);
	sendJson(response, isReady ? 200 : 503, {isReady});
}

async function takeRequest({
	context, request, response, parameter,
}: Call): Promise<void> {
	const head = readRequestHead(parameter, request.headers, readClock());
	if (head.isErr()) {
		refuse(context, response, head.error);
		return;
	}

	const body = await readBody(request, context.settings.maxBodyBytes);
	if (body.isErr()) {
		refuse(context, response, body.error);
		return;
	}

	const callerKey = context.calls.open(body.value, response);
	response.once('close', () => {
		if (!response.writableFinished) {
			context.push({type: 'caller/gone', at: readClock(), callerKey});
		}
	});
	context.push({type: 'request/arrived', at: readClock(), request: createCallerRequest(head.value, callerKey)});
}

const publishBodySchema = z.object({records: z.array(logRecordSchema).min(1).max(100)});

async function takeRecords({context, request, response}: Call): Promise<void> {
	const body = await readBody(request, context.settings.maxBodyBytes);
	if (body.isErr()) {
		refuse(context, response, body.error);
		return;
	}

	const parsed = publishBodySchema.safeParse(parseJson(body.value));
	if (!parsed.success) {
		refuse(context, response, createFault('bad-request', parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')));
		return;
	}

	for (const record of parsed.data.records) {
		const decoded = decodeBody(record.schema, record.version, record.body);
		if (decoded.isErr()) {
			refuse(context, response, createFault('record-invalid', `${record.recordId}: ${decoded.error.detail}`));
			return;
		}
	}

	const at = readClock();
	context.push({
		type: 'publish/requested',
		at,
		callerKey: context.calls.open(body.value, response),
		records: parsed.data.records,
		deadline: (at + publishTimeoutMs) as Instant,
	});
}

function parseJson(bytes: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(bytes).toString('utf8'));
	} catch {
		return undefined;
	}
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
