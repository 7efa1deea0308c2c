/** A test double of a worker of the users' platform: serves `ModelWorker` over HTTP. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {ModelWorker} from '@rhubarblever/core/scheduler/testing';
import {listen, readJson, sendJson} from '../http.js';
import {
	createCallFaults, drawOutcome, drawLateMs, type CallFaults,
} from './call-faults.js';
import type {RunObserver} from './run-observer.js';

const advanceMs = 5;
const pollPath = '/v1/hold';
const statusConflict = 409;
const statusMisdirected = 421;

type WorkerCall = {readonly task: string; readonly run: number; readonly 'until-ms'?: number; readonly 'fencing-token'?: number; readonly 'ack-cursor'?: number; readonly 'wait-ms'?: number};

type WorkerAnswer = {readonly status: number; readonly body: unknown};

export type JobWorkerOptions = {
	readonly id: string;
	readonly address: string;
	readonly pool: string;
	readonly cpu: number;
	/** Run time of each task, in milliseconds. */
	readonly runMs: number;
	/** CPU that each task uses, in the same unit as `cpu`. */
	readonly taskCpu: number;
	/** Address (`ip:port`) that the registry lists for it; its own by default. */
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

	/** Starts per task. */
	readonly startCounts = new Map<string, number>();
	/** Completed runs per task. */
	readonly completionCounts = new Map<string, number>();
	/** Starts that exceeded the worker's CPU capacity. */
	overCapacityStarts = 0;
	/** Faults injected into calls to the worker. */
	readonly faults: CallFaults = createCallFaults();
	/** False between a crash and the restart. */
	isUp = true;
	private readonly model: ModelWorker;
	private readonly server: Server;
	private bornAt = Date.now();
	private readonly knownRuns = new Map<string, number>();
	private readonly timer: NodeJS.Timeout;

	private constructor(private readonly options: JobWorkerOptions) {
		this.model = ModelWorker.create({
			id: options.id, bornAt: this.bornAt, address: options.address, pool: options.pool, availabilityZone: 'a', capacity: {cpu: options.cpu, memoryMb: 100_000, gpu: 0}, labels: ['a', 'r-1'], isDraining: false, remainingMs: undefined, machineId: undefined,
		});
		this.server = createServer((request, response) => {
			// Any failure, such as a malformed body or a closed connection, ends the connection without an answer.
			void this.answer(request, response).catch(() => {
				request.socket.destroy();
			});
		});
		this.timer = setInterval(() => {
			this.advance();
		}, advanceMs);
	}

	/** Ends the worker's process; its runs are lost. */
	crash(): void {
		this.isUp = false;
		this.model.crash();
		this.reportEnds(new Set());
		this.server.closeAllConnections();
	}

	/** Starts a new process (a new incarnation) under the same worker id. */
	restart(): void {
		this.bornAt = Date.now();
		this.model.restart(this.bornAt);
		this.isUp = true;
	}

	/** The worker's entry in the registry. */
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
		for (const row of this.model.takeUnlistedEnds()) {
			this.reportAcknowledgedRow(row.task, row.how);
		}

		for (const run of done) {
			this.completionCounts.set(run.task, (this.completionCounts.get(run.task) ?? 0) + 1);
		}

		this.reportEnds(new Set(done.map(run => run.task)));
	}

	/** Reports to the observer the runs that have ended since the last call; `done` holds the tasks that completed. */
	private reportEnds(done: ReadonlySet<string>): void {
		for (const [task, run] of this.knownRuns) {
			if (this.model.runs.get(task)?.run !== run) {
				this.knownRuns.delete(task);
				this.options.observer?.noteEnd(this.options.id, task, run, done.has(task));
			}
		}
	}

	private readClock(): number {
		return Date.now() - this.bornAt;
	}

	private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const call = await readJson(request) as WorkerCall;
		const path = request.url ?? '';
		if (!this.isUp) {
			request.socket.destroy();
			return;
		}

		if (request.headers['target-instance'] !== this.options.id) {
			sendJson(response, statusMisdirected, {});
			return;
		}

		const callOutcome = drawOutcome(this.faults);
		const {bornAt} = this;
		if (callOutcome === 'late') {
			setTimeout(() => {
				// By the next process too if this one has ended.
				if (this.isUp) {
					void this.handleCall(path, call);
				}
			}, drawLateMs(this.faults));
			return;
		}

		const {status, body} = await this.handleCall(path, call);
		if (callOutcome === 'answer-lost' || !this.isUp || bornAt !== this.bornAt) {
			request.socket.destroy();
			return;
		}

		sendJson(response, status, body);
	}

	private async handleCall(path: string, call: WorkerCall): Promise<WorkerAnswer> {
		const operations: Readonly<Record<string, () => Promise<WorkerAnswer> | WorkerAnswer>> = {
			'/v1/run-start': () => this.start(call),
			'/v1/run-stop': () => this.stop(call),
			[pollPath]: async () => this.poll(call),
		};
		return operations[path]?.() ?? {status: 404, body: {}};
	}

	private stop(call: WorkerCall): WorkerAnswer {
		const isStopped = this.model.stop(call.task, call.run, call['fencing-token'] ?? 0);
		this.reportEnds(new Set());
		return {status: isStopped ? 200 : statusConflict, body: {'clock-ms': this.readClock(), ...(!isStopped && {reason: 'fence'})}};
	}

	private start(call: WorkerCall): WorkerAnswer {
		const now = this.readClock();
		const isNew = this.model.runs.get(call.task)?.run !== call.run;
		const {runMs, taskCpu, cpu} = this.options;
		const outcome = this.model.start({
			run: {
				task: call.task, run: call.run, need: {cpu: taskCpu, memoryMb: 1, gpu: 0}, startedAt: now, endsAt: now + runMs, end: 'done',
			}, untilMs: call['until-ms'] ?? 0, token: call['fencing-token'] ?? 0,
		}, now);
		const reasons: Readonly<Record<string, string>> = {
			fenced: 'fence', 'stale-run': 'old', late: 'late', 'no-room': 'room',
		};
		if (outcome === 'started' && isNew) {
			this.startCounts.set(call.task, (this.startCounts.get(call.task) ?? 0) + 1);
			this.overCapacityStarts += this.model.countUsedCpu() > cpu ? 1 : 0;
			this.knownRuns.set(call.task, call.run);
			this.options.observer?.noteStart(this.options.id, call.task, call.run);
		}

		return {status: outcome === 'started' ? 200 : statusConflict, body: {'clock-ms': now, ...(outcome !== 'started' && {reason: reasons[outcome]})}};
	}

	private async poll(call: WorkerCall): Promise<WorkerAnswer> {
		this.reportAcknowledged(call['ack-cursor'] ?? 0);
		const readLists = () => this.model.poll({untilMs: call['until-ms'], token: call['fencing-token'] ?? 0, ackedEnd: call['ack-cursor'] ?? 0}, this.readClock());
		let lists = readLists();
		for (let waitedMs = 0; lists?.ended.length === 0 && waitedMs < (call['wait-ms'] ?? 0); waitedMs += advanceMs) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, advanceMs);
			});
			lists = readLists();
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
			this.reportAcknowledgedRow(row.task, row.how);
		}
	}

	private reportAcknowledgedRow(task: string, how: string): void {
		if (how === 'done') {
			this.options.observer?.noteAcknowledged(task);
		}
	}
}
