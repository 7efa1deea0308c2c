/** The daemon's HTTP server: dispatches calls from callers, operators and health checks to their routes. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Server} from 'node:net';
import {createFault, type Fault} from '@rhubarblever/core';
import {
	BoundedServer, ClientBudget, type BoundedServerOptions, type ReceivedRequest, type RequestRefusal,
} from '../clients/index.js';
import type {Settings, SocketAddress} from '../settings.js';
import {refuseCall, type HttpContext} from './call.js';
import {routes} from './routes.js';
import {hasToken} from './token.js';

const bytesPerMb = 1_048_576;

/** Faults of calls that the server refuses because of their head or the size of their body. */
const refusalFaults: Readonly<Record<RequestRefusal, (settings: Settings) => Fault>> = {
	'bad-request': () => createFault('bad-request', 'the host header is missing'),
	'too-large': ({maxBodyBytes}) => createFault('payload-too-large', `the limit is ${maxBodyBytes} bytes`),
	'expectation-failed': () => createFault('bad-request', 'the expectation is not supported'),
};

type ServerHandlers = Required<Pick<BoundedServerOptions, 'handleUpgrade' | 'refusalSink'>>;

/** Creates the server; it does not listen yet. */
export function createHttpServer(context: HttpContext, handlers: ServerHandlers): Server {
	const {settings} = context;
	return BoundedServer.create({
		...handlers,
		name: 'daemon',
		handle(received, response) {
			void answerCall(context, received, response);
		},
		answerRefusal(refusal, response) {
			refuseCall(context, response, refusalFaults[refusal](settings));
		},
		getLimits: () => settings.clientLimits,
		bodyTimeoutMs: settings.bodyTimeoutMs,
		maxRequestsAhead: settings.maxRequestsAhead,
		maxConnections: settings.maxConnections,
		budget: ClientBudget.create(settings.clientMemoryMb * bytesPerMb),
	});
}

/** Resolves when the server listens; rejects if it cannot. */
export async function startListening(server: Server, address: SocketAddress): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.ip, resolve);
	});
}

async function answerCall(context: HttpContext, received: ReceivedRequest, response: ServerResponse): Promise<void> {
	try {
		await dispatchCall(context, received, response);
	} catch (error) {
		refuseCall(context, response, createFault('internal', (error as Error).message));
	}
}

async function dispatchCall(context: HttpContext, {request, body}: ReceivedRequest, response: ServerResponse): Promise<void> {
	const path = readPath(request);
	const route = routes.find(candidate => candidate.method === request.method && candidate.pattern.test(path));
	if (!route) {
		refuseCall(context, response, createFault('not-found', `${request.method} ${path}`));
		return;
	}

	if (route.access === 'operator' && !hasToken(request, context.settings.operatorToken)) {
		refuseCall(context, response, createFault('unauthorized', 'operators show their token as Authorization: Bearer'));
		return;
	}

	await route.handle({
		context, request, body, response, parameter: route.pattern.exec(path)?.[1] ?? '',
	});
}

/** Returns the path of a call without its query. Does not use `URL`, since not every request target parses as one. */
function readPath(request: IncomingMessage): string {
	return (request.url ?? '/').split('?', 1)[0] ?? '/';
}
