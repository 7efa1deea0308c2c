/** The daemon's HTTP server: dispatches calls from callers, operators and health checks to their routes. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {createFault} from '@rhubarblever/core';
import type {SocketAddress} from '../settings.js';
import {refuseCall, type HttpContext} from './call.js';
import {routes} from './routes.js';
import {hasToken} from './token.js';

/** Creates the server; it does not listen yet. */
export function createHttpServer(context: HttpContext): Server {
	return createServer((request, response) => {
		void answerCall(context, request, response);
	});
}

/** Resolves when the server listens; rejects if it cannot. */
export async function startListening(server: Server, address: SocketAddress): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.ip, resolve);
	});
}

async function answerCall(context: HttpContext, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		await dispatchCall(context, request, response);
	} catch (error) {
		refuseCall(context, response, createFault('internal', (error as Error).message));
	}
}

async function dispatchCall(context: HttpContext, request: IncomingMessage, response: ServerResponse): Promise<void> {
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
		context, request, response, parameter: route.pattern.exec(path)?.[1] ?? '',
	});
}

/** Returns the path of a call without its query. Does not use `URL`, since not every request target parses as one. */
function readPath(request: IncomingMessage): string {
	return (request.url ?? '/').split('?', 1)[0] ?? '/';
}
