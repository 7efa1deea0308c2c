/** An HTTP server whose clients cannot take more memory, descriptors or time than its limits allow, whatever they send. */
import {
	createServer as createHttpServer, type IncomingMessage, type Server as HttpServer, type ServerResponse,
} from 'node:http';
import {Server, type Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {ClientLimits} from '@rhubarblever/core/scheduler';
import {readSteadyClock} from '../scheduler/clocks.js';
import {BodyBuffer} from './body-buffer.js';
import type {ClientBudget} from './client-budget.js';
import {ClientConnection, maxParserHeaderBytes} from './client-connection.js';
import {defaultBodyTimeoutMs, defaultClientLimits, defaultMaxRequestsAhead} from './client-limits.js';
import {EvictionOrder} from './eviction-order.js';
import {RefusalCounts, type RefusalSink} from './refusal-counts.js';

const tickIntervalMs = 250;

/** A complete request. */
export type ReceivedRequest = {readonly request: IncomingMessage; readonly body: Uint8Array};

/** Requests that the server itself refuses, because of their head or the size of their body. */
export type RequestRefusal = 'bad-request' | 'too-large' | 'expectation-failed';

const refusalStatuses: Readonly<Record<RequestRefusal, number>> = {'bad-request': 400, 'too-large': 413, 'expectation-failed': 417};

/** Answers to bytes that are no request, by the error code of the parser. */
const malformedStatusLines: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};
const badRequestLine = '400 Bad Request';

export type BoundedServerOptions = {
	/** Name of the server in logs and metrics. */
	readonly name: string;
	readonly handle: (received: ReceivedRequest, response: ServerResponse) => void;
	/** Answers a refused request; without it, the answer has no body. */
	readonly answerRefusal?: (refusal: RequestRefusal, response: ServerResponse) => void;
	/** Takes connections over for another protocol; without it, such requests are handled like any other. */
	readonly handleUpgrade?: (request: IncomingMessage, socket: Duplex, head: Uint8Array) => void;
	/** The limits in force; `defaultClientLimits` without it. */
	readonly getLimits?: () => ClientLimits;
	readonly bodyTimeoutMs?: number;
	readonly maxRequestsAhead?: number;
	readonly maxConnections: number;
	/** Shared by all servers of a process. */
	readonly budget: ClientBudget;
	readonly refusalSink?: RefusalSink;
};

export class BoundedServer extends Server {
	static create(options: BoundedServerOptions): BoundedServer {
		return new BoundedServer(options);
	}

	private readonly http: HttpServer;
	private readonly clients = new Set<ClientConnection>();
	private readonly order = EvictionOrder.create();
	private readonly refusals: RefusalCounts;
	private readonly getLimits: () => ClientLimits;
	private timer: NodeJS.Timeout | undefined;

	private constructor(private readonly options: BoundedServerOptions) {
		super({allowHalfOpen: true, noDelay: true});
		this.getLimits = options.getLimits ?? (() => defaultClientLimits);
		this.refusals = RefusalCounts.create(options.name, options.refusalSink ?? {report() {}});
		this.http = this.createHttp();
		this.on('connection', socket => {
			this.acceptConnection(socket);
		});
	}

	/** True if a request is being received whose client has begun to send it, or its body, less than `maxAgeMs` ago. */
	isReceiving(maxAgeMs: number): boolean {
		const earliest = readSteadyClock() - maxAgeMs;
		return [...this.clients].some(({phase, phaseStartedAt}) => (phase === 'head' || phase === 'body') && phaseStartedAt > earliest);
	}

	/** Closes the connections without a request. */
	closeIdleConnections(): void {
		for (const connection of this.clients) {
			if (connection.phase === 'idle') {
				connection.destroy();
			}
		}
	}

	closeAllConnections(): void {
		for (const connection of this.clients) {
			connection.destroy();
		}
	}

	/** The HTTP server reads requests and writes answers on connections that are given to it; it does not listen. */
	private createHttp(): HttpServer {
		const {handleUpgrade} = this.options;
		const http = createHttpServer({requireHostHeader: false, maxHeaderSize: maxParserHeaderBytes}, (request, response) => {
			this.receiveRequest(request, response);
		});
		http.on('checkExpectation', (request, response) => {
			this.refuseRequest('expectation-failed', request, response);
		});
		http.on('clientError', (error: NodeJS.ErrnoException, connection) => {
			(connection as unknown as ClientConnection).refuseHead('malformed', malformedStatusLines[error.code ?? ''] ?? badRequestLine);
		});
		if (handleUpgrade) {
			http.on('upgrade', (request, socket, head) => {
				(socket as unknown as ClientConnection).startPassing();
				handleUpgrade(request, socket, head);
			});
		}

		return http;
	}

	private acceptConnection(socket: Socket): void {
		const {options, order, getLimits, refusals} = this;
		const {
			maxConnections, budget, bodyTimeoutMs = defaultBodyTimeoutMs, maxRequestsAhead = defaultMaxRequestsAhead,
		} = options;
		if (this.clients.size >= maxConnections && !this.evictForNew(socket)) {
			return;
		}

		const connection = ClientConnection.create({
			socket, getLimits, bodyTimeoutMs, maxRequestsAhead, budget, order, noteRefusal(reason) {
				refusals.add(reason);
			},
		});
		if (!connection.updateCharge()) {
			connection.refuse('over-budget');
			return;
		}

		this.clients.add(connection);
		connection.once('close', () => {
			this.clients.delete(connection);
			this.updateTimer();
		});
		this.updateTimer();
		this.http.keepAliveTimeout = getLimits().idleTimeoutMs;
		this.http.emit('connection', connection);
	}

	/** Closes the connection that has waited longest for the sake of a new one; the new one if all others are at work. */
	private evictForNew(socket: Socket): boolean {
		if (this.order.evictOldest()) {
			return true;
		}

		this.refusals.add('too-many-connections');
		socket.destroy();
		return false;
	}

	private receiveRequest(request: IncomingMessage, response: ServerResponse): void {
		const connection = request.socket as unknown as ClientConnection;
		const length = readBodyLength(request);
		if (length === 0) {
			connection.startExchange(request, response, undefined, 0);
			if (!this.refuseHostless(request, response)) {
				this.options.handle({request, body: new Uint8Array(0)}, response);
			}

			return;
		}

		const {maxBodyBytes} = this.getLimits();
		const body = BodyBuffer.create(Math.min(length ?? maxBodyBytes, maxBodyBytes));
		connection.startExchange(request, response, body, length);
		if (this.refuseHostless(request, response)) {
			request.resume();
		} else if (length !== undefined && length > maxBodyBytes) {
			request.resume();
			this.refuseBody(response);
		} else {
			this.collectBody(connection, request, response, body);
		}
	}

	private collectBody(connection: ClientConnection, request: IncomingMessage, response: ServerResponse, body: BodyBuffer): void {
		let isRefused = false;
		request.on('data', (chunk: Uint8Array) => {
			if (!isRefused && !body.append(chunk)) {
				isRefused = true;
				body.clear();
				this.refuseBody(response);
			}
		});
		request.once('end', () => {
			if (!isRefused) {
				connection.startWork();
				this.options.handle({request, body: body.finish()}, response);
			}
		});
	}

	/** The rest of the body is read and discarded, so that the connection can carry the client's next request. */
	private refuseBody(response: ServerResponse): void {
		this.refusals.add('body-too-large');
		this.answerRefusal('too-large', response);
	}

	/** RFC 9112, 3.2: a request of HTTP/1.1 without Host is answered 400. */
	private refuseHostless(request: IncomingMessage, response: ServerResponse): boolean {
		if (request.httpVersion !== '1.1' || request.headers.host !== undefined) {
			return false;
		}

		this.refusals.add('malformed');
		response.setHeader('connection', 'close');
		this.answerRefusal('bad-request', response);
		return true;
	}

	private refuseRequest(refusal: RequestRefusal, request: IncomingMessage, response: ServerResponse): void {
		const connection = request.socket as unknown as ClientConnection;
		connection.startExchange(request, response, BodyBuffer.create(0), readBodyLength(request));
		request.resume();
		this.refusals.add('malformed');
		response.setHeader('connection', 'close');
		this.answerRefusal(refusal, response);
	}

	private answerRefusal(refusal: RequestRefusal, response: ServerResponse): void {
		const {answerRefusal} = this.options;
		if (answerRefusal) {
			answerRefusal(refusal, response);
			return;
		}

		response.writeHead(refusalStatuses[refusal], {'content-length': 0});
		response.end();
	}

	/** The clock ticks only while there are connections. */
	private updateTimer(): void {
		if (this.clients.size === 0) {
			clearInterval(this.timer);
			this.timer = undefined;
			return;
		}

		this.timer ??= setInterval(() => {
			this.tick();
		}, tickIntervalMs).unref();
	}

	private tick(): void {
		const now = readSteadyClock();
		for (const connection of this.clients) {
			connection.tick(now);
		}
	}
}

/** Bytes of a request's body; undefined if it comes in chunks. */
function readBodyLength({headers}: IncomingMessage): number | undefined {
	return headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : undefined;
}
