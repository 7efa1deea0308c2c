/** A worker of the users' platform: the model of a worker behind HTTP. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {ModelWorker} from '@rhubarblever/core/scheduler/testing';
import {listen, readJson, sendJson} from '../http.js';
import {
	createCallFaults, drawFate, drawLateMs, type CallFaults,
} from './order-faults.js';
import type {RunObserver} from './run-observer.js';

const advanceMs = 5;
const holdPath = '/v1/hold';
const statusConflict = 409;
const statusOtherLife = 421;

type Order = {readonly task: string; readonly run: number; readonly 'until-ms'?: number; readonly 'fencing-token'?: number; readonly 'ack-cursor'?: number; readonly 'wait-ms'?: number};

type OrderAnswer = {readonly status: number; readonly body: unknown};

export type JobWorkerOptions = {
	readonly id: string;
	readonly address: string;
	readonly pool: string;
	readonly cpu: number;
	/** How long a task runs and what it takes. */
	readonly runMs: number;
	readonly taskCpu: number;
	/** Where callers reach it, if not at its own address. */
	readonly publishedAddress?: string;
	readonly observer?: RunObserver;
};

export class JobWorker {
	static async start(options: JobWorkerOptions): Promise<JobWorker> {
		const worker = new JobWorker(options);
		const [ip, port] = options.address.split(':');
		await listen(worker.server, ip!, Number(port));
		return worker;
	}

	/** How often each task was started, and how often it was done. */
	readonly starts = new Map<string, number>();
	readonly done = new Map<string, number>();
	/** Tasks that started over the worker's room. */
	overRoom = 0;
	/** What goes wrong with orders to it. */
	readonly faults: CallFaults = createCallFaults();
	/** False between a crash and the next process. */
	isUp = true;
	private readonly model: ModelWorker;
	private readonly server: Server;
	private bornAt = Date.now();
	private readonly known = new Map<string, number>();
	private readonly timer: NodeJS.Timeout;

	private constructor(private readonly options: JobWorkerOptions) {
		this.model = ModelWorker.create({
			id: options.id, bornAt: this.bornAt, address: options.address, pool: options.pool, availabilityZone: 'a', capacity: {cpu: options.cpu, memoryMb: 100_000, gpu: 0}, labels: ['a', 'r-1'], isDraining: false, remainingMs: undefined, machineId: undefined,
		});
		this.server = createServer((request, response) => {
			// A caller that breaks its call off gets no answer.
			void this.answer(request, response).catch(() => {
				request.socket.destroy();
			});
		});
		this.timer = setInterval(() => {
			this.advance();
		}, advanceMs);
	}

	/** Its process ends; what ran is gone. */
	crash(): void {
		this.isUp = false;
		this.model.crash();
		this.reportEnds(new Set());
		this.server.closeAllConnections();
	}

	/** A new process under the same id. */
	restart(): void {
		this.bornAt = Date.now();
		this.model.restart(this.bornAt);
		this.isUp = true;
	}

	/** What it says of itself in the registry. */
	describe(sequence: number): unknown {
		const {address, publishedAddress = address, pool, cpu} = this.options;
		return {
			service: pool, address: publishedAddress, zone: 'a', version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, capacity: {cpu, 'mem-mb': 100_000, gpu: 0}, labels: ['a', 'r-1'], 'clock-ms': this.readClock(), sequence, born: this.bornAt,
		};
	}

	async close(): Promise<void> {
		clearInterval(this.timer);
		this.server.closeAllConnections();
		this.server.close();
	}

	private advance(): void {
		const done = this.model.advance(this.readClock());
		for (const run of done) {
			this.done.set(run.task, (this.done.get(run.task) ?? 0) + 1);
		}

		this.reportEnds(new Set(done.map(run => run.task)));
	}

	/** Tells the observer of runs that are gone since the last look. */
	private reportEnds(done: ReadonlySet<string>): void {
		for (const [task, run] of this.known) {
			if (this.model.runs.get(task)?.run !== run) {
				this.known.delete(task);
				this.options.observer?.noteEnd(this.options.id, task, run, done.has(task));
			}
		}
	}

	private readClock(): number {
		return Date.now() - this.bornAt;
	}

	private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const order = await readJson(request) as Order;
		const path = request.url ?? '';
		if (!this.isUp) {
			request.socket.destroy();
			return;
		}

		if (request.headers['target-instance'] !== this.options.id) {
			sendJson(response, statusOtherLife, {});
			return;
		}

		const fate = drawFate(this.faults);
		const {bornAt} = this;
		if (fate === 'late') {
			setTimeout(() => {
				// An acknowledgement for one process means nothing to the next (docs/QUESTIONS.md).
				if (this.isUp && (path !== holdPath || bornAt === this.bornAt)) {
					void this.handleOrder(path, order);
				}
			}, drawLateMs(this.faults));
			return;
		}

		const {status, body} = await this.handleOrder(path, order);
		if (fate === 'answer-lost' || !this.isUp || bornAt !== this.bornAt) {
			request.socket.destroy();
			return;
		}

		sendJson(response, status, body);
	}

	private async handleOrder(path: string, order: Order): Promise<OrderAnswer> {
		const operations: Readonly<Record<string, () => Promise<OrderAnswer> | OrderAnswer>> = {
			'/v1/run-start': () => this.start(order),
			'/v1/run-stop': () => this.stop(order),
			[holdPath]: async () => this.hold(order),
		};
		return operations[path]?.() ?? {status: 404, body: {}};
	}

	private stop(order: Order): OrderAnswer {
		const isStopped = this.model.stop(order.task, order.run, order['fencing-token'] ?? 0);
		this.reportEnds(new Set());
		return {status: isStopped ? 200 : statusConflict, body: {'clock-ms': this.readClock(), ...(!isStopped && {reason: 'fence'})}};
	}

	private start(order: Order): OrderAnswer {
		const now = this.readClock();
		const isNew = this.model.runs.get(order.task)?.run !== order.run;
		const {runMs, taskCpu, cpu} = this.options;
		const outcome = this.model.start({
			run: {
				task: order.task, run: order.run, need: {cpu: taskCpu, memoryMb: 1, gpu: 0}, startedAt: now, endsAt: now + runMs, end: 'done',
			}, untilMs: order['until-ms'] ?? 0, token: order['fencing-token'] ?? 0,
		}, now);
		const reasons: Readonly<Record<string, string>> = {
			fenced: 'fence', 'stale-run': 'old', late: 'late', 'no-room': 'room',
		};
		if (outcome === 'started' && isNew) {
			this.starts.set(order.task, (this.starts.get(order.task) ?? 0) + 1);
			this.overRoom += this.model.countUsedCpu() > cpu ? 1 : 0;
			this.known.set(order.task, order.run);
			this.options.observer?.noteStart(this.options.id, order.task, order.run);
		}

		return {status: outcome === 'started' ? 200 : statusConflict, body: {'clock-ms': now, ...(outcome !== 'started' && {reason: reasons[outcome]})}};
	}

	private async hold(order: Order): Promise<OrderAnswer> {
		this.reportAcknowledged(order['ack-cursor'] ?? 0);
		const ask = () => this.model.poll({untilMs: order['until-ms'], token: order['fencing-token'] ?? 0, ackedEnd: order['ack-cursor'] ?? 0}, this.readClock());
		let lists = ask();
		for (let waitedMs = 0; lists?.ended.length === 0 && waitedMs < (order['wait-ms'] ?? 0); waitedMs += advanceMs) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, advanceMs);
			});
			lists = ask();
		}

		if (!lists) {
			return {status: statusConflict, body: {'clock-ms': this.readClock(), reason: 'fence'}};
		}

		return {
			status: 200,
			body: {
				'clock-ms': this.readClock(),
				born: this.bornAt,
				running: lists.running.map(row => [row.task, row.run, row.checkpoint, row.percent]),
				ended: lists.ended.map(row => [row.number, row.task, row.run, row.how, row.checkpoint]),
			},
		};
	}

	private reportAcknowledged(upTo: number): void {
		for (const row of this.model.listEndsUpTo(upTo)) {
			if (row.how === 'done') {
				this.options.observer?.noteAcknowledged(row.task);
			}
		}
	}
}
