/** The target test double: a runner with slots that answers each attempt with a digest of the request and keeps a ledger. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {sleep} from '../harness/process-group.js';
import {listen, readBytes, sendJson} from '../http.js';
import {resetSocket} from '../reset-socket.js';
import {createAnswer} from './answer.js';
import {answerHandlers, type PendingAnswer} from './answer-faults.js';
import {FaultSource} from './fault-source.js';
import {attemptHeader, leavingHeader, notRunHeader} from './headers.js';
import {Slots, type WhenFull} from './slots.js';
import {TargetLedger, type LedgerEntry} from './target-ledger.js';
import {parseWork, type AnswerFault, type TargetSettings} from './work.js';

export type TargetOptions = {
	/** Address (`ip:port`) to listen on. */
	readonly address: string;
	readonly slots: number;
	readonly connections: number;
	readonly whenFull: WhenFull;
};

type Run = {readonly requestId: string; readonly attemptId: string; readonly body: Uint8Array};

export class TargetServer {
	static async create(options: TargetOptions): Promise<TargetServer> {
		const target = new TargetServer(options);
		await target.start();
		return target;
	}

	readonly ledger = TargetLedger.create();
	private readonly faults = FaultSource.create();
	private readonly slots: Slots;
	private readonly sockets = new Set<Socket>();
	private readonly mutedSockets = new WeakSet<Socket>();
	private server: Server | undefined;
	private restartTimer: NodeJS.Timeout | undefined;

	private constructor(readonly options: TargetOptions) {
		this.slots = Slots.create(options.slots, options.whenFull);
	}

	/** Replaces the settings that apply to all requests. */
	setSettings(settings: TargetSettings): void {
		this.faults.set(settings);
		if (settings.isLeaving) {
			this.ledger.leavingAt ??= Date.now();
		}
	}

	/** Starts listening; does nothing if the target is up. */
	async start(): Promise<void> {
		if (this.server) {
			return;
		}

		this.server = createServer((request, response) => {
			void this.answer(request, response);
		});
		this.server.on('connection', socket => {
			this.trackConnection(socket);
		});
		const [ip = '', port = ''] = this.options.address.split(':');
		await listen(this.server, ip, Number(port));
	}

	/** Simulates a killed process: stops listening, resets connections and abandons running requests. */
	crash(): void {
		this.server?.close();
		this.server = undefined;
		this.slots.reset();
		for (const socket of this.sockets) {
			resetSocket(socket);
		}
	}

	/** Crashes, and starts again after `downMs`. */
	crashFor(downMs: number): void {
		this.crash();
		this.restartTimer = setTimeout(() => {
			void this.start();
		}, downMs);
	}

	/** Stops the target and cancels a pending restart. */
	close(): void {
		clearTimeout(this.restartTimer);
		this.crash();
	}

	/** From now on, requests on this connection are neither run nor answered. */
	silence(socket: Socket): void {
		this.mutedSockets.add(socket);
	}

	private trackConnection(socket: Socket): void {
		this.sockets.add(socket);
		this.ledger.noteConnections(this.sockets.size, this.options.connections);
		socket.once('close', () => {
			this.sockets.delete(socket);
		});
	}

	private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.method === 'GET' && request.url === '/healthz') {
			sendJson(response, 200, {status: 'ok', load: this.slots.load});
			return;
		}

		if (request.method === 'GET' && request.url === '/ledger') {
			sendJson(response, 200, this.ledger.report());
			return;
		}

		try {
			await this.handleRequest(request, response);
		} catch {
			response.destroy();
		}
	}

	private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const run: Run = {
			requestId: String(request.headers['idempotency-key']),
			attemptId: String(request.headers[attemptHeader]),
			body: await readBytes(request),
		};
		if (this.mutedSockets.has(request.socket)) {
			return;
		}

		response.setHeader(attemptHeader, run.attemptId);
		if (this.faults.settings.isLeaving) {
			response.setHeader(leavingHeader, 'true');
		}

		const work = parseWork(run.body);
		if (!work) {
			refuse(response, 400, 'the body is not the JSON of a work');
			return;
		}

		const fault = this.faults.choose(work);
		if (this.crashIfFault(fault, 'crash-before') || !await this.takeSlot(response)) {
			return;
		}

		const {server} = this;
		const entry = this.ledger.noteStart(run.requestId, run.attemptId);
		const runMs = work.runMs + this.faults.settings.slowMs;
		await sleep(fault.kind === 'crash-during' ? runMs / 2 : runMs);
		const hasCrashed = this.server !== server || this.crashIfFault(fault, 'crash-during');
		if (!hasCrashed) {
			this.finish(entry);
			await this.sendAnswer(fault, {
				target: this, request, response, attemptId: run.attemptId, answer: createAnswer(run.requestId, run.body, work.answerBytes),
			});
		}
	}

	/** Takes a slot, or answers the request with a refusal. False if it was refused or the target crashed meanwhile. */
	private async takeSlot(response: ServerResponse): Promise<boolean> {
		const {server} = this;
		this.ledger.overfilledSlots += this.slots.isFull ? 1 : 0;
		const slot = this.faults.settings.refusesAll ? Promise.resolve(false) : this.slots.take();
		this.ledger.noteRequests(this.slots.load);
		if (!await slot) {
			this.ledger.refusals += 1;
			refuse(response, 503, 'no slot is free');
			return false;
		}

		return this.server === server;
	}

	private finish(entry: LedgerEntry): void {
		entry.endedAt = Date.now();
		this.slots.release();
	}

	private crashIfFault(fault: AnswerFault, kind: AnswerFault['kind']): boolean {
		if (fault.kind !== kind || !('downMs' in fault)) {
			return false;
		}

		this.crashFor(fault.downMs);
		return true;
	}

	private async sendAnswer(fault: AnswerFault, pending: PendingAnswer): Promise<void> {
		const send = answerHandlers[fault.kind];
		await send(pending, fault);
	}
}

/** Refuses a request, with the header that says that it was not run. */
function refuse(response: ServerResponse, status: number, detail: string): void {
	response.setHeader(notRunHeader, 'true');
	sendJson(response, status, {detail});
}
