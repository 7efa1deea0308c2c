/** A stand-in for the platform's machine API: one machine for each worker, with upkeep that restarts the worker. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {standInQueue, type JobWorker} from '@rhubarblever/stand-ins';

const machineCpu = 8000;
const machineMemoryMb = 100_000;
const upkeepMs = 1000;
const statusOk = 200;
const statusInvalid = 400;
const statusConflict = 409;
const statusNotFound = 404;

type Machine = {
	readonly id: string;
	readonly workerId: string;
	readonly worker: JobWorker;
	isUp: boolean;
	/** Highest fencing token seen. */
	token: number;
	/** Number of upkeeps by wave. */
	readonly upkeeps: Map<number, number>;
};

type UpkeepOrder = {readonly machine: string; readonly wave: number};
type Answer = {readonly status: number; readonly body: unknown};

export class MachineService {
	/** `address`: `ip:port` to listen on. */
	static async create(address: string, workers: readonly JobWorker[]): Promise<MachineService> {
		const service = new MachineService(workers);
		const [ip, port] = address.split(':');
		await new Promise<void>(resolve => {
			service.server.listen(Number(port), ip, resolve);
		});
		return service;
	}

	private readonly machines: readonly Machine[];
	private readonly server: Server;

	private constructor(workers: readonly JobWorker[]) {
		this.machines = workers.map((worker, index) => ({
			id: `machine-${index}`, workerId: `worker-${index}`, worker, isUp: true, token: 0, upkeeps: new Map(),
		}));
		this.server = createServer((request, response) => {
			// A client that aborts its call gets no response.
			void this.handle(request, response).catch(() => {
				request.socket.destroy();
			});
		});
	}

	listIds(): string[] {
		return this.machines.map(({id}) => id);
	}

	/** Number of upkeeps of each machine in a wave. */
	countUpkeeps(wave: number): number[] {
		return this.machines.map(({upkeeps}) => upkeeps.get(wave) ?? 0);
	}

	close(): void {
		this.server.closeAllConnections();
		this.server.close();
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {status, body} = await this.answer(request);
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}

	private async answer(request: IncomingMessage): Promise<Answer> {
		if (request.url?.startsWith('/v1/machines')) {
			return {status: statusOk, body: {machines: this.machines.map(machine => describeMachine(machine)), 'next-token': null}};
		}

		if (request.url !== '/v1/machine-upkeep') {
			return {status: statusNotFound, body: {}};
		}

		const chunks: string[] = [];
		request.setEncoding('utf8');
		for await (const chunk of request as AsyncIterable<string>) {
			chunks.push(chunk);
		}

		return this.startUpkeep(JSON.parse(chunks.join('')) as UpkeepOrder, Number(request.headers['fencing-token'] ?? 0));
	}

	private startUpkeep({machine: id, wave}: UpkeepOrder, token: number): Answer {
		const machine = this.machines.find(candidate => candidate.id === id);
		if (!machine) {
			return {status: statusInvalid, body: {}};
		}

		if (token < machine.token) {
			return {status: statusConflict, body: {reason: 'fence'}};
		}

		machine.token = token;
		if (machine.upkeeps.has(wave)) {
			return {status: statusOk, body: {}};
		}

		if (!machine.isUp) {
			return {status: statusConflict, body: {reason: 'busy'}};
		}

		machine.upkeeps.set(wave, 1);
		machine.isUp = false;
		machine.worker.crash();
		setTimeout(() => {
			machine.worker.restart();
			machine.isUp = true;
		}, upkeepMs);
		return {status: statusOk, body: {}};
	}
}

function describeMachine({id, workerId, isUp}: Machine): unknown {
	return {
		machine: id,
		pool: standInQueue.pool,
		state: isUp ? 'up' : 'upkeep',
		zone: 'a',
		labels: ['a', 'r-1'],
		capacity: {cpu: machineCpu, 'mem-mb': machineMemoryMb, gpu: 0},
		id: isUp ? workerId : null,
	};
}
