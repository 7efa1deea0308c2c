/** The platform stand-in: a log with offsets, long-poll reads and a host list, over HTTP/JSON. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {
	Instant, ListedHost, LogRecord,
} from '@rhubarblever/core';
import {listen, readJson, sendJson} from '../http.js';
import {LogStream} from './log-stream.js';

export type PlatformOptions = {
	readonly ip: string;
	readonly port: number;
	readonly hosts: readonly ListedHost[];
};

/** A further address of the platform, at which the host list names other addresses for hosts: those of proxies. */
export type HostListView = {
	readonly listen: string;
	readonly addresses: Readonly<Record<string, string>>;
};

export class PlatformServer {
	static async create(options: PlatformOptions): Promise<PlatformServer> {
		const platform = new PlatformServer(options);
		await listen(platform.server, options.ip, options.port);
		return platform;
	}

	private readonly streams = new Map<string, LogStream>();
	private hosts: ListedHost[];
	private readonly views = new Map<string, HostListView>();
	private readonly server = this.createServer();

	private constructor(options: PlatformOptions) {
		this.hosts = [...options.hosts];
	}

	/** The stream of a name, made at its first use. */
	getStream(name: string): LogStream {
		const stream = this.streams.get(name) ?? LogStream.create();
		this.streams.set(name, stream);
		return stream;
	}

	private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://localhost');
		const streamName = /^\/v1\/streams\/([\w-]+)\/records$/.exec(url.pathname)?.[1];
		if (streamName && request.method === 'POST') {
			const body = await readJson(request) as {records: LogRecord[]};
			const stream = this.getStream(streamName);
			const firstOffset = stream.nextOffset;
			stream.append(body.records, Date.now() as Instant);
			sendJson(response, 200, {firstOffset, nextOffset: stream.nextOffset});
		} else if (streamName) {
			await this.answerRead(this.getStream(streamName), url, response);
		} else if (url.pathname === '/v1/hosts') {
			sendJson(response, 200, {hosts: this.listHosts(request)});
		} else if (url.pathname === '/v1/control/hosts' && request.method === 'PUT') {
			this.hosts = (await readJson(request) as {hosts: ListedHost[]}).hosts;
			sendJson(response, 200, {});
		} else if (url.pathname === '/v1/control/views' && request.method === 'PUT') {
			await this.setView(await readJson(request) as HostListView);
			sendJson(response, 200, {});
		} else {
			sendJson(response, 404, {});
		}
	}

	/** The host list as it is seen from the address that the caller reached. */
	private listHosts(request: IncomingMessage): ListedHost[] {
		const view = this.views.get(`${request.socket.localAddress}:${request.socket.localPort}`);
		return this.hosts.map(host => ({...host, address: view?.addresses[host.hostId] ?? host.address}));
	}

	private async setView(view: HostListView): Promise<void> {
		const isNew = !this.views.has(view.listen);
		this.views.set(view.listen, view);
		if (isNew) {
			const [ip = '', port = ''] = view.listen.split(':');
			await listen(this.createServer(), ip, Number(port));
		}
	}

	private createServer(): Server {
		return createServer((request, response) => {
			void this.answer(request, response);
		});
	}

	private async answerRead(stream: LogStream, url: URL, response: ServerResponse): Promise<void> {
		const from = Number(url.searchParams.get('from') ?? 0);
		const limit = Number(url.searchParams.get('limit') ?? 100);
		const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
		if (from >= stream.nextOffset) {
			await stream.waitForAppend(waitMs);
		}

		sendJson(response, 200, {
			records: stream.read(from, limit),
			firstOffset: stream.firstOffset,
			nextOffset: stream.nextOffset,
		});
	}
}
