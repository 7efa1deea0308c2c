/**
 * One client's connection, as the HTTP server sees it: bytes are let through one request at a time, and what the client
 * sends ahead waits until the answer before it has been taken. While something waits, the socket is not read.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {readSteadyClock} from '../scheduler/clocks.js';
import type {BodyBuffer} from './body-buffer.js';
import type {ClientBudget} from './client-budget.js';
import {
	computePhaseDeadline, overdueReasons, type ConnectionPhase, type PhaseLimits,
} from './connection-phase.js';
import type {Evictable, EvictionOrder} from './eviction-order.js';
import {IncomingBytes} from './incoming-bytes.js';
import type {RefusalReason} from './refusal-counts.js';
import {SocketWriter, type WriteCallback, type WriteChunk} from './socket-writer.js';
import type {TurnTaker} from './turn-queue.js';

/** Estimate of the memory that an open connection takes without any request. */
const connectionBytes = 16_384;
/** What the system may have received of a client whose socket is not read. */
const unreadBytes = 65_536;
/** The server's own parser refuses larger heads, whatever the limit in force. */
export const maxParserHeaderBytes = 131_072;

/** What the Node.js stream interface passes for an error, or for none. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types
type StreamError = Error | null;

/** A request and its answer. */
type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: BodyBuffer | undefined;
	/** Bytes of the body that are still to come; undefined for a body in chunks. */
	remainingBytes: number | undefined;
	isAnswered: boolean;
};

export type ConnectionOptions = PhaseLimits & {
	readonly socket: Socket;
	readonly maxRequestsAhead: number;
	readonly budget: ClientBudget;
	/** The connections of the same server. */
	readonly order: EvictionOrder;
	readonly noteRefusal: (reason: RefusalReason) => void;
};

export class ClientConnection extends Duplex implements Evictable, TurnTaker {
	static create(options: ConnectionOptions): ClientConnection {
		return new ClientConnection(options);
	}

	phase: ConnectionPhase = 'idle';
	/** When the present phase began (monotonic clock). */
	phaseStartedAt = 0;
	private phaseDeadline = Number.POSITIVE_INFINITY;
	/** When the client must have sent another byte of a body. */
	private byteDeadline = Number.POSITIVE_INFINITY;
	private readonly held = IncomingBytes.create();
	private readonly writer: SocketWriter;
	private headBytes = 0;
	private chargedBytes = 0;
	/** Requests in a row that were sent before the answer to the one before was taken. */
	private requestsAhead = 0;
	private exchange: Exchange | undefined;

	private constructor(private readonly options: ConnectionOptions) {
		super({decodeStrings: false});
		const {socket} = options;
		this.writer = SocketWriter.create(socket, () => this.computeIdleDeadline());
		socket.on('data', (bytes: Uint8Array) => {
			this.receive(bytes);
		});
		socket.on('end', () => {
			this.handleEnd();
		});
		// A client that resets its connection has gone; whoever answers it learns that from the response.
		socket.on('error', () => {
			this.destroy();
		});
		socket.on('close', () => {
			this.destroy();
		});
		this.setPhase('idle');
	}

	/** Notes that the HTTP server has read the head of a request. `body` collects its body, if it has one of `bodyBytes`, or in chunks. */
	startExchange(request: IncomingMessage, response: ServerResponse, body: BodyBuffer | undefined, bodyBytes: number | undefined): void {
		this.exchange = {
			request, response, body, remainingBytes: bodyBytes, isAnswered: false,
		};
		this.setPhase(body ? 'body' : 'work');
		if (this.requestsAhead >= this.options.maxRequestsAhead) {
			this.options.noteRefusal('too-many-ahead');
			response.setHeader('connection', 'close');
		}

		response.once('close', () => {
			this.finishAnswer();
		});
	}

	/** Notes that the whole request has been received. */
	startWork(): void {
		this.setPhase('work');
	}

	/** Hands the connection over to another protocol: all bytes pass, and no time limit applies. */
	startPassing(): void {
		this.setPhase('upgraded');
		this.sendHeld();
	}

	/** Accounts for the memory that the connection holds now; false if that is over the budget of all clients. */
	updateCharge(): boolean {
		const {socket, budget} = this.options;
		const isUnread = this.held.size > 0 || socket.isPaused();
		const bytes = this.destroyed ? 0 : connectionBytes + this.held.size + this.headBytes + (isUnread ? unreadBytes : 0) + (this.exchange?.body?.capacity ?? 0);
		const change = bytes - this.chargedBytes;
		this.chargedBytes = bytes;
		return budget.update(this, change);
	}

	/** Closes the connection if one of its deadlines has passed. */
	tick(now: number): void {
		this.updateOrder();
		if (this.writer.deadline !== undefined && now >= this.writer.deadline) {
			this.refuse('answer-not-read');
		} else if (now >= this.phaseDeadline || (this.phase === 'body' && now >= this.byteDeadline)) {
			this.refuse(overdueReasons[this.phase]);
		}
	}

	/** Answers bytes that are no request, and closes the connection. */
	refuseHead(reason: RefusalReason, statusLine: string): void {
		this.options.noteRefusal(reason);
		this.end(this.exchange?.response.headersSent ? undefined : `HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	}

	/** Closes the connection without an answer. */
	refuse(reason: RefusalReason): void {
		this.options.noteRefusal(reason);
		this.destroy();
	}

	takeTurn(): void {
		this.sendHeld();
	}

	evict(): void {
		this.refuse('evicted');
	}

	// The Node.js stream interface requires the names of the following methods.
	// eslint-disable-next-line no-restricted-syntax
	override _read(): void {
		if (this.phase === 'upgraded') {
			this.options.socket.resume();
		}
	}

	// eslint-disable-next-line no-restricted-syntax
	override _write(chunk: WriteChunk['chunk'], encoding: BufferEncoding, done: WriteCallback): void {
		this.writer.write([{chunk, encoding}], done);
	}

	// eslint-disable-next-line no-restricted-syntax
	override _writev(chunks: readonly WriteChunk[], done: WriteCallback): void {
		this.writer.write(chunks, done);
	}

	/** The last answer has been sent: waits for the client to close, so that a reset does not overtake the answer. */
	// eslint-disable-next-line no-restricted-syntax
	override _final(done: WriteCallback): void {
		this.setPhase('closing');
		this.dropHeld();
		this.options.socket.end(done);
	}

	// eslint-disable-next-line no-restricted-syntax
	override _destroy(error: StreamError, done: (error?: StreamError) => void): void {
		const {socket, budget, order} = this.options;
		budget.order.remove(this);
		order.remove(this);
		this.dropHeld();
		this.exchange?.body?.clear();
		this.exchange = undefined;
		this.updateCharge();
		socket.destroy();
		done(error);
	}

	private receive(bytes: Uint8Array): void {
		if (this.destroyed || this.writableEnded) {
			return;
		}

		this.byteDeadline = this.computeIdleDeadline();
		this.held.add(bytes);
		this.sendHeld();
	}

	private handleEnd(): void {
		if (this.phase === 'closing') {
			this.destroy();
		} else {
			this.push(null);
		}
	}

	/** Lets the HTTP server have what it may read now. */
	private sendHeld(): void {
		while (this.held.size > 0 && !this.destroyed && !this.writableEnded) {
			const bytes = this.takeNextBytes();
			if (!bytes) {
				break;
			}

			const isTaken = this.push(bytes);
			if (this.phase === 'upgraded' && !isTaken) {
				this.options.socket.pause();
			}

			this.finishExchange();
		}

		this.updateFlow();
	}

	/** Takes bytes of the present request, or of the next one; undefined if the present one has been read as a whole and is not answered yet. */
	private takeNextBytes(): Uint8Array | undefined {
		if (this.phase === 'upgraded') {
			return this.held.takeAtMost(this.held.size);
		}

		const {exchange} = this;
		if (!exchange) {
			return this.takeHeadBytes();
		}

		if (exchange.request.complete || exchange.remainingBytes === 0) {
			return undefined;
		}

		if (exchange.remainingBytes === undefined) {
			return this.held.takeToEmptyLine();
		}

		const bytes = this.held.takeAtMost(exchange.remainingBytes);
		exchange.remainingBytes -= bytes.length;
		return bytes;
	}

	/** Undefined if the head is too large, which has been answered then. */
	private takeHeadBytes(): Uint8Array | undefined {
		if (this.phase === 'idle') {
			this.setPhase('head');
			this.headBytes = 0;
			this.held.startMessage();
		}

		const bytes = this.held.takeToEmptyLine();
		this.headBytes += bytes.length;
		if (this.headBytes <= this.options.getLimits().maxHeaderBytes) {
			return bytes;
		}

		this.refuseHead('header-too-large', '431 Request Header Fields Too Large');
		return undefined;
	}

	private dropHeld(): void {
		this.held.clear();
		this.options.socket.resume();
	}

	private finishAnswer(): void {
		if (this.exchange) {
			this.exchange.isAnswered = true;
			this.finishExchange();
			this.updateFlow();
		}
	}

	/** A request whose body was refused is over only when the rest of its body has been read. */
	private finishExchange(): void {
		if (!this.exchange?.isAnswered || !this.exchange.request.complete || this.destroyed) {
			return;
		}

		this.exchange = undefined;
		this.headBytes = 0;
		if (this.writableEnded) {
			return;
		}

		this.setPhase('idle');
		this.requestsAhead = this.held.size > 0 ? this.requestsAhead + 1 : 0;
		if (this.held.size > 0) {
			this.options.budget.turns.add(this);
		}
	}

	/** Stops reading while something that was received waits. */
	private updateFlow(): void {
		const {socket} = this.options;
		if (this.destroyed) {
			return;
		}

		if (this.writableEnded) {
			this.dropHeld();
		}

		if (this.held.size > 0) {
			socket.pause();
		} else if (this.phase !== 'upgraded') {
			socket.resume();
		}

		this.updateOrder();
		if (!this.updateCharge()) {
			this.refuse('over-budget');
		}
	}

	private setPhase(phase: ConnectionPhase): void {
		const {budget, order} = this.options;
		this.phase = phase;
		this.phaseStartedAt = readSteadyClock();
		this.phaseDeadline = computePhaseDeadline(phase, this.phaseStartedAt, this.options);
		budget.order.remove(this);
		order.remove(this);
		this.updateOrder();
	}

	/** A request that is carried out is not evicted, unless its client sends ahead or does not take the answer. */
	private updateOrder(): void {
		const {budget, order} = this.options;
		const isBusy = this.phase === 'upgraded' || (this.phase === 'work' && this.held.size === 0 && this.writer.deadline === undefined);
		if (isBusy || this.destroyed) {
			budget.order.remove(this);
			order.remove(this);
		} else {
			budget.order.add(this);
			order.add(this);
		}
	}

	private computeIdleDeadline(): number {
		return readSteadyClock() + this.options.getLimits().idleTimeoutMs;
	}
}
