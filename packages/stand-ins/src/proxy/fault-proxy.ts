/** A TCP proxy that injects faults between a client and one target address. */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {resetSocket} from '../reset-socket.js';
import {ProxyFlow, type FlowFault} from './proxy-flow.js';

export type FaultProxyOptions = {
	/** Address (`ip:port`) that clients connect to. */
	readonly listenAddress: string;
	/** Address (`ip:port`) that connections are forwarded to. */
	readonly targetAddress: string;
};

export type ProxyDirection = 'to-target' | 'to-client';

/** Which connections a fault affects. `all`: open and future ones. `open`: only those that are open now. */
export type FaultScope = 'all' | 'open';

export type FreezeOptions = {
	readonly directions?: readonly ProxyDirection[];
	readonly scope?: FaultScope;
};

type ProxyConnection = {
	readonly client: Socket;
	readonly target: Socket;
	readonly flows: Readonly<Record<ProxyDirection, ProxyFlow>>;
};

const bothDirections: readonly ProxyDirection[] = ['to-target', 'to-client'];
const passing: FlowFault = {kind: 'pass'};

export class FaultProxy {
	static async create(options: FaultProxyOptions): Promise<FaultProxy> {
		const proxy = new FaultProxy(options);
		await proxy.startListening();
		return proxy;
	}

	/** Connections accepted since the start. */
	acceptedConnections = 0;
	/** Bytes received from both sides since the start. */
	forwardedBytes = 0;
	private readonly connections = new Set<ProxyConnection>();
	private readonly delaysMs: Record<ProxyDirection, number> = {'to-target': 0, 'to-client': 0};
	private readonly faults: Record<ProxyDirection, FlowFault> = {'to-target': passing, 'to-client': passing};
	private server: Server | undefined;

	private constructor(private readonly options: FaultProxyOptions) {}

	get listenAddress(): string {
		return this.options.listenAddress;
	}

	get targetAddress(): string {
		return this.options.targetAddress;
	}

	get openConnections(): number {
		return this.connections.size;
	}

	/** Sets the delay of bytes in each direction, in milliseconds; directions that are left out keep theirs. */
	delay(delaysMs: Partial<Record<ProxyDirection, number>>): void {
		Object.assign(this.delaysMs, delaysMs);
		for (const connection of this.connections) {
			for (const direction of bothDirections) {
				connection.flows[direction].setDelay(this.delaysMs[direction]);
			}
		}
	}

	/** Stops listening, so that new connections are refused, and resets the open ones. */
	async cut(): Promise<void> {
		const {server} = this;
		this.server = undefined;
		server?.close();
		this.resetConnections();
	}

	/** Stops forwarding bytes but leaves connections open; with scope `open`, later connections are not affected. */
	freeze({directions = bothDirections, scope = 'all'}: FreezeOptions = {}): void {
		this.applyFault({kind: 'freeze'}, directions, scope);
	}

	/** Ends each connection after the given number of further bytes in one direction. */
	truncate(bytes: number, direction: ProxyDirection = 'to-client', scope: FaultScope = 'all'): void {
		this.applyFault({kind: 'truncate', bytes}, [direction], scope);
	}

	/** Ends all faults and delays; bytes that a freeze held back are forwarded. */
	async heal(): Promise<void> {
		this.delay({'to-target': 0, 'to-client': 0});
		this.applyFault(passing, bothDirections, 'all');
		await this.startListening();
	}

	/** Stops the proxy and resets all connections. */
	async close(): Promise<void> {
		await this.cut();
	}

	private applyFault(fault: FlowFault, directions: readonly ProxyDirection[], scope: FaultScope): void {
		for (const direction of directions) {
			if (scope === 'all') {
				this.faults[direction] = fault;
			}

			for (const connection of this.connections) {
				connection.flows[direction].setFault(fault);
			}
		}
	}

	private resetConnections(): void {
		for (const connection of this.connections) {
			resetSocket(connection.client);
			resetSocket(connection.target);
		}

		this.connections.clear();
	}

	private async startListening(): Promise<void> {
		if (this.server) {
			return;
		}

		const [ip = '', port = ''] = this.options.listenAddress.split(':');
		const server = createServer({allowHalfOpen: true, noDelay: true}, client => {
			this.accept(client);
		});
		this.server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(Number(port), ip, resolve);
		});
	}

	private accept(client: Socket): void {
		this.acceptedConnections += 1;
		const [host = '', port = ''] = this.options.targetAddress.split(':');
		const target = connect({
			host, port: Number(port), allowHalfOpen: true, noDelay: true,
		});
		const connection: ProxyConnection = {
			client,
			target,
			flows: {
				'to-target': ProxyFlow.create(client, target, this.delaysMs['to-target'], this.faults['to-target']),
				'to-client': ProxyFlow.create(target, client, this.delaysMs['to-client'], this.faults['to-client']),
			},
		};
		this.connections.add(connection);
		this.trackSide(connection, client, target, 'to-target');
		this.trackSide(connection, target, client, 'to-client');
	}

	/** Counts the bytes from one side; an error there resets the other side, unless this direction is frozen. */
	private trackSide(connection: ProxyConnection, side: Socket, otherSide: Socket, direction: ProxyDirection): void {
		side.on('data', (chunk: Uint8Array) => {
			this.forwardedBytes += chunk.byteLength;
		});
		side.on('error', () => {
			side.destroy();
			if (!connection.flows[direction].isFrozen) {
				resetSocket(otherSide);
			}
		});
		side.on('close', () => {
			if (otherSide.destroyed) {
				this.connections.delete(connection);
			}
		});
	}
}
