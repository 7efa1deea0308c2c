/** A worker of the users' platform: the model of a worker behind HTTP. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {ModelWorker} from '@rhubarblever/core/scheduler/testing';
import {listen, readJson, sendJson} from '../http.js';

const advanceMs = 5;
const statusConflict = 409;
const statusOtherLife = 421;

type Order = {readonly task: string; readonly run: number; readonly 'until-ms'?: number; readonly 'fencing-token'?: number; readonly 'ack-cursor'?: number; readonly 'wait-ms'?: number};

export type JobWorkerOptions = {
	readonly id: string;
	readonly address: string;
	readonly pool: string;
	readonly cpu: number;
	/** How long a task runs and what it takes. */
	readonly runMs: number;
	readonly taskCpu: number;
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
	private readonly model: ModelWorker;
	private readonly server: Server;
	private readonly bornAt = Date.now();
	private readonly timer: NodeJS.Timeout;

	private constructor(private readonly options: JobWorkerOptions) {
		this.model = ModelWorker.create({
			id: options.id, bornAt: this.bornAt, address: options.address, pool: options.pool, availabilityZone: 'a', capacity: {cpu: options.cpu, memoryMb: 100_000, gpu: 0}, labels: ['a', 'r-1'], isDraining: false, remainingMs: undefined, machineId: undefined,
		});
		this.server = createServer((request, response) => {
			void this.answer(request, response);
		});
		this.timer = setInterval(() => {
			for (const run of this.model.advance(this.readClock())) {
				this.done.set(run.task, (this.done.get(run.task) ?? 0) + 1);
			}
		}, advanceMs);
	}

	/** What it says of itself in the registry. */
	describe(sequence: number): unknown {
		const {address, pool, cpu} = this.options;
		return {
			service: pool, address, zone: 'a', version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, capacity: {cpu, 'mem-mb': 100_000, gpu: 0}, labels: ['a', 'r-1'], 'clock-ms': this.readClock(), sequence, born: this.bornAt,
		};
	}

	async close(): Promise<void> {
		clearInterval(this.timer);
		this.server.closeAllConnections();
		this.server.close();
	}

	private readClock(): number {
		return Date.now() - this.bornAt;
	}

	private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const order = await readJson(request) as Order;
		if (request.headers['target-instance'] !== this.options.id) {
			sendJson(response, statusOtherLife, {});
			return;
		}

		const operations: Readonly<Record<string, () => Promise<void> | void>> = {
			'/v1/run-start': () => {
				this.start(order, response);
			},
			'/v1/run-stop': () => {
				const isStopped = this.model.stop(order.task, order.run, order['fencing-token'] ?? 0);
				sendJson(response, isStopped ? 200 : statusConflict, {'clock-ms': this.readClock(), ...(!isStopped && {reason: 'fence'})});
			},
			'/v1/hold': async () => this.hold(order, response),
		};
		await (operations[request.url ?? ''] ?? (() => {
			sendJson(response, 404, {});
		}))();
	}

	private start(order: Order, response: ServerResponse): void {
		const now = this.readClock();
		const isNew = !this.model.runs.has(order.task);
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
		}

		sendJson(response, outcome === 'started' ? 200 : statusConflict, {'clock-ms': now, ...(outcome !== 'started' && {reason: reasons[outcome]})});
	}

	private async hold(order: Order, response: ServerResponse): Promise<void> {
		const ask = () => this.model.hold({untilMs: order['until-ms'], token: order['fencing-token'] ?? 0, ackedEnd: order['ack-cursor'] ?? 0}, this.readClock());
		let lists = ask();
		for (let waitedMs = 0; lists?.ended.length === 0 && waitedMs < (order['wait-ms'] ?? 0); waitedMs += advanceMs) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, advanceMs);
			});
			lists = ask();
		}

		if (!lists) {
			sendJson(response, statusConflict, {'clock-ms': this.readClock(), reason: 'fence'});
			return;
		}

		sendJson(response, 200, {
			'clock-ms': this.readClock(),
			born: this.bornAt,
			running: lists.running.map(row => [row.task, row.run, row.checkpoint, row.percent]),
			ended: lists.ended.map(row => [row.number, row.task, row.run, row.how, row.checkpoint]),
		});
	}
}
