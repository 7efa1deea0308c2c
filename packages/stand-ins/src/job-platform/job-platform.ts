/** A test double of the users' platform on loopback addresses: the store, the list of machines (always empty) and some workers. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {listen, readBytes, sendJson} from '../http.js';
import {JobWorker} from './job-worker.js';
import {KeyedLog} from './keyed-log.js';
import {
	createCallFaults, drawOutcome, drawLateMs, type CallFaults,
} from './call-faults.js';
import {delayNothing, type ReadDelay, type StoreRead} from './read-delays.js';
import type {RunObserver} from './run-observer.js';

const statusGone = 410;
const publishIntervalMs = 500;

export type JobPlatformOptions = {
	readonly address: string;
	readonly workerAddresses: readonly string[];
	readonly runMs: number;
	/** Addresses (`ip:port`) that the registry lists for the workers, in their order; the workers' own by default. */
	readonly publishedAddresses?: readonly string[];
	readonly observer?: RunObserver;
	/** The limits on clients in the configuration; none by default. */
	readonly publishedLimits?: Readonly<Record<string, number>>;
};

export const standInQueue = {
	host: 'jobs.example', pathPrefix: '/replans/', name: 'replans', pool: 'trucks',
} as const;
const workerCpu = 8000;
/** CPU that each task of the test jobs needs, in the same unit as `workerCpu`. */
export const standInTaskCpu = 2000;

export class JobPlatform {
	static async start(options: JobPlatformOptions): Promise<JobPlatform> {
		const workers = await Promise.all(options.workerAddresses.map(async (address, index) => JobWorker.start({
			id: `worker-${index}`, address, pool: standInQueue.pool, cpu: workerCpu, runMs: options.runMs, taskCpu: standInTaskCpu, ...(options.observer && {observer: options.observer}), ...(options.publishedAddresses && {publishedAddress: options.publishedAddresses[index]!}),
		})));
		const platform = new JobPlatform(workers, options.address, options.publishedLimits);
		const [ip, port] = options.address.split(':');
		await listen(platform.server, ip!, Number(port));
		return platform;
	}

	readonly log = KeyedLog.create();
	/** While true, every connection to the platform is closed without an answer. */
	isDown = false;
	/** Faults injected into appends. */
	readonly faults: CallFaults = createCallFaults();
	/** Delay of each call before it is handled, in milliseconds. */
	delayMs = 0;
	/** Chooses the delays of each read; appends are not delayed by it. */
	drawReadDelay: (read: StoreRead) => ReadDelay = delayNothing;
	private readonly server: Server;
	private readonly endpointServers: Server[] = [];
	private readonly timer: NodeJS.Timeout;
	private readonly listed = new Set<string>();
	private sequence = 0;

	private constructor(readonly workers: readonly JobWorker[], /** Address of the store and of the list of machines (`ip:port`). */ readonly address: string, private readonly publishedLimits: Readonly<Record<string, number>> = {}) {
		this.server = this.createServer();
		this.publishConfig(1);
		this.publishWorkers();
		this.timer = setInterval(() => {
			this.publishWorkers();
		}, publishIntervalMs);
	}

	/** Publishes a configuration with a single queue, `standInQueue`, and the client accounts `tenants` if given. */
	publishConfig(version: number, tenants?: readonly unknown[]): void {
		const {host, pathPrefix, name, pool} = standInQueue;
		this.log.put('keyed.op', 'config', {
			version,
			routes: [{
				name, host, 'path-prefix': pathPrefix, kind: 'non_idempotent', 'timeout-ms': 3000, 'target-latency-ms': 600, priority: 0, service: pool, 'max-attempts': 3, stretch: 2,
			}],
			services: [{
				name: pool, 'health-path': '/health', 'max-conns': 64, protocol: 'h1', tls: false, 'admission-check': true, spare: false,
			}],
			limits: this.publishedLimits,
			...(tenants && {tenants}),
		});
	}

	/** Listens at an additional address. `drawReadDelay` is given the address that a read came through. */
	async openEndpoint(address: string): Promise<void> {
		const server = this.createServer(address);
		this.endpointServers.push(server);
		const [ip, port] = address.split(':');
		await listen(server, ip!, Number(port));
	}

	async close(): Promise<void> {
		clearInterval(this.timer);
		for (const server of [this.server, ...this.endpointServers]) {
			server.closeAllConnections();
			server.close();
		}

		await Promise.all(this.workers.map(async worker => worker.close()));
	}

	private createServer(endpoint?: string): Server {
		return createServer((request, response) => {
			// The caller closed the connection, so the call cannot be answered.
			void this.answer(request, response, endpoint).catch(() => {
				request.socket.destroy();
			});
		});
	}

	private publishWorkers(): void {
		this.sequence++;
		for (const [index, worker] of this.workers.entries()) {
			const key = `worker-${index}`;
			if (worker.isUp) {
				this.log.put('keyed.servers', key, worker.describe(this.sequence));
				this.listed.add(key);
			} else if (this.listed.delete(key)) {
				this.log.put('keyed.servers', key, undefined);
			}
		}
	}

	private async answer(request: IncomingMessage, response: ServerResponse, endpoint: string | undefined): Promise<void> {
		if (this.isDown) {
			request.socket.destroy();
			return;
		}

		if (this.delayMs > 0) {
			await sleep(this.delayMs);
		}

		const url = new URL(request.url ?? '/', 'http://platform');
		const query = url.searchParams;
		const topic = query.get('topic') ?? '';
		const operations: Readonly<Record<string, () => Promise<void> | void>> = {
			'/v1/log-append': async () => this.append(request, response, query),
			'/v1/log-read': async () => this.delayRead({operation: 'log-read', topic, endpoint}, async () => this.read(response, query)),
			'/v1/log-newest': async () => this.delayRead({operation: 'log-newest', topic, endpoint}, async () => {
				const page = this.log.listNewest(topic, query.get('depends-on') ?? undefined);
				return () => {
					sendJson(response, 200, page);
				};
			}),
			'/v1/machines'() {
				sendJson(response, 200, {machines: [], 'next-token': null});
			},
		};
		await (operations[url.pathname] ?? (() => {
			sendJson(response, 404, {});
		}))();
	}

	/** Reads the content between two delays and sends the answer after the second. */
	private async delayRead(read: StoreRead, fixContent: () => Promise<() => void>): Promise<void> {
		const {beforeMs, afterMs} = this.drawReadDelay(read);
		if (beforeMs > 0) {
			await sleep(beforeMs);
		}

		const send = await fixContent();
		if (afterMs > 0) {
			await sleep(afterMs);
		}

		send();
	}

	private async read(response: ServerResponse, query: URLSearchParams): Promise<() => void> {
		const maxKb = query.get('max-kb');
		const answer = await this.log.read(query.get('topic') ?? '', {
			from: Number(query.get('from')), waitMs: Number(query.get('wait-ms')), maxKb: maxKb === null ? undefined : Number(maxKb),
		});
		return () => {
			if (answer.type === 'read') {
				response.end(answer.bytes);
			} else {
				sendJson(response, statusGone, {first: answer.first});
			}
		};
	}

	private async append(request: IncomingMessage, response: ServerResponse, query: URLSearchParams): Promise<void> {
		const bytes = await readBytes(request);
		const at = query.get('at');
		const append = () => this.log.append(query.get('topic') ?? '', bytes, {
			at: at === null ? undefined : Number(at), producer: query.get('producer') ?? undefined, epoch: Number(query.get('epoch')), sequence: Number(query.get('sequence')),
		});
		const outcome = drawOutcome(this.faults);
		if (outcome === 'late') {
			setTimeout(() => {
				append();
			}, drawLateMs(this.faults));
			request.socket.destroy();
			return;
		}

		const {status, body} = append();
		if (outcome === 'answer-lost') {
			request.socket.destroy();
			return;
		}

		sendJson(response, status, body);
	}
}
