/** HTTP server of the platform test double: routes calls, and applies the injected faults to all calls except those to the control routes. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {ListedHost} from '@rhubarblever/core';
import {
	listen, readJson, sendJson, sendTaggedJson,
} from '../http.js';
import {resetSocket} from '../reset-socket.js';
import type {CallOutcome} from './faults.js';
import {Platform} from './platform.js';
import {
	answerError, type Route, type RouteAnswer,
} from './route.js';
import {routes} from './routes.js';

export type PlatformOptions = {
	/** `ip:port`. */
	readonly address: string;
	readonly hosts: readonly ListedHost[];
};

const controlPrefix = '/v1/control/';

/** How a call fails during an outage, by the kind of outage. */
const outageHandlers: Readonly<Record<Exclude<CallOutcome, 'served'>, (response: ServerResponse) => void>> = {
	reset(response) {
		if (response.socket) {
			resetSocket(response.socket);
		}
	},
	hang() {
		// The call stays open and is never answered.
	},
	unavailable(response) {
		sendJson(response, 503, {detail: 'the platform is out'});
	},
};

export class PlatformServer {
	static async create(options: PlatformOptions): Promise<PlatformServer> {
		const server = new PlatformServer();
		server.platform.hostList.set(options.hosts);
		await server.listenOn(options.address);
		return server;
	}

	readonly platform = Platform.create();

	private readonly servers: Server[] = [];

	private constructor() {}

	/** Listens on an additional address. */
	async listenOn(address: string): Promise<void> {
		const [ip = '', port = ''] = address.split(':');
		const server = createServer((request, response) => {
			void this.answer(request, response);
		});
		this.servers.push(server);
		await listen(server, ip, Number(port));
	}

	/** Stops listening and closes all connections. */
	close(): void {
		for (const server of this.servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = parseUrl(request.url ?? '/');
		if (!url) {
			sendJson(response, 400, {detail: 'the request target is no URL'});
			return;
		}

		const isControl = url.pathname.startsWith(controlPrefix);
		const callOutcome = isControl ? 'served' : await this.platform.faults.acceptCall();
		if (callOutcome !== 'served') {
			outageHandlers[callOutcome](response);
			return;
		}

		const answer = await this.handle(request, url);
		if (!isControl && this.platform.faults.drawAnswerLoss(request.method ?? '')) {
			resetSocket(request.socket);
			return;
		}

		if (request.method === 'GET' && answer.status === 200) {
			sendTaggedJson(request, response, answer.body);
		} else {
			sendJson(response, answer.status, answer.body);
		}
	}

	private async handle(request: IncomingMessage, url: URL): Promise<RouteAnswer> {
		const matchingRoutes = routes.filter(route => route.pattern.test(url.pathname));
		const route = matchingRoutes.find(candidate => candidate.method === request.method);
		if (!route) {
			return matchingRoutes.length > 0 ? answerError(405, 'the path has no such method') : answerError(404, 'no such path');
		}

		try {
			return await this.run(route, request, url);
		} catch (error) {
			const detail = (error as Error).message;
			return error instanceof SyntaxError ? answerError(400, `the body is not JSON: ${detail}`) : answerError(500, detail);
		}
	}

	private async run(route: Route, request: IncomingMessage, url: URL): Promise<RouteAnswer> {
		const {localAddress, localPort} = request.socket;
		return route.handle({
			platform: this.platform,
			parameters: route.pattern.exec(url.pathname)?.slice(1).map(text => decodeURIComponent(text)) ?? [],
			query: url.searchParams,
			body: request.method === 'GET' ? undefined : await readJson(request),
			reachedAddress: `${localAddress}:${localPort}`,
			listenOn: async address => this.listenOn(address),
		});
	}
}

/** Undefined for a request target that is not a valid URL, such as `//`. */
function parseUrl(target: string): URL | undefined {
	const base = 'http://localhost';
	return URL.canParse(target, base) ? new URL(target, base) : undefined;
}
