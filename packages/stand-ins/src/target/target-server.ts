/** The target stand-in: a runner with slots that answers each attempt with a digest of its own request, and keeps a ledger. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {sleep} from '../harness/process-group.js';
import {listen, readBytes, sendJson} from '../http.js';
import {resetSocket} from '../reset-socket.js';
import {createAnswer} from './answer.js';
import {answerHandlers, type Answering} from './answer-faults.js';
import {FaultSource} from './fault-source.js';
import {attemptHeader, leavingHeader, notRunHeader} from './headers.js';
import {Slots, type WhenFull} from './slots.js';
import {TargetLedger, type LedgerEntry} from './target-ledger.js';
import {parseWork, type AnswerFault, type TargetSettings} from './work.js';

export type TargetOptions = {
	/** `ip:port`. */
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
	private readonly silentSockets = new WeakSet<Socket>();
	private server: Server | undefined;
	private restartTimer: NodeJS.Timeout | undefined;

	private constructor(readonly options: TargetOptions) {
		this.slots = Slots.create(options.slots, options.whenFull);
	}

	/** Changes how it behaves to all requests. */
	setSettings(settings: TargetSettings): void {
		this.faults.set(settings);
		if (settings.isLeaving) {
			this.ledger.leavingAt ??= Date.now();
		}
	}

	/** Listens; a target that is up stays as it is. */
	async start(): Promise<void> {
		if (this.server) {
			return;
		}

		this.server = createServer((request, response) => {
			void this.answer(request, response);
		});
		this.server.on('connection', socket => {
			this.followConnection(socket);
		});
		const [ip = '', port = ''] = this.options.address.split(':');
		await listen(this.server, ip, Number(port));
	}

	/** Goes down at once as a killed process would: connections are reset, runs end unfinished. */
	crash(): void {
		this.server?.close();
		this.server = undefined;
		this.slots.reset();
		for (const socket of this.sockets) {
			resetSocket(socket);
		}
	}

	/** Goes down and is back after `downMs`. */
	crashFor(downMs: number): void {
		this.crash();
		this.restartTimer = setTimeout(() => {
			void this.start();
		}, downMs);
	}

	/** Goes down for good. */
	close(): void {
		clearTimeout(this.restartTimer);
		this.crash();
	}

	/** A connection neither runs nor answers anything more. */
	silence(socket: Socket): void {
		this.silentSockets.add(socket);
	}

	private followConnection(socket: Socket): void {
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
			await this.takeRequest(request, response);
		} catch {
			response.destroy();
		}
	}

	private async takeRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const run: Run = {
			requestId: String(request.headers['idempotency-key']),
			attemptId: String(request.headers[attemptHeader]),
			body: await readBytes(request),
		};
		if (this.silentSockets.has(request.socket)) {
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
		if (this.doesCrash(fault, 'crash-before') || !await this.takeSlot(response)) {
			return;
		}

		const {server} = this;
		const entry = this.ledger.noteStart(run.requestId, run.attemptId);
		const runMs = work.runMs + this.faults.settings.slowMs;
		await sleep(fault.kind === 'crash-during' ? runMs / 2 : runMs);
		const hasCrashed = this.server !== server || this.doesCrash(fault, 'crash-during');
		if (!hasCrashed) {
			this.finish(entry);
			await this.sendAnswer(fault, {
				target: this, request, response, attemptId: run.attemptId, answer: createAnswer(run.requestId, run.body, work.answerBytes),
			});
		}
	}

	/** Takes a slot; a refused request is answered here. */
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

	private doesCrash(fault: AnswerFault, kind: AnswerFault['kind']): boolean {
		if (fault.kind !== kind || !('downMs' in fault)) {
			return false;
		}

		this.crashFor(fault.downMs);
		return true;
	}

	private async sendAnswer(fault: AnswerFault, answering: Answering): Promise<void> {
		const send = answerHandlers[fault.kind];
		await send(answering, fault);
	}
}

/** Refuses a request and says that it was not run. */
function refuse(response: ServerResponse, status: number, detail: string): void {
	response.setHeader(notRunHeader, 'true');
	sendJson(response, status, {detail});
}
