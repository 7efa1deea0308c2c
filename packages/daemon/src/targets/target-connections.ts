/** The connections to one target: each an undici client with one socket and one request at a time. */
import {Client} from 'undici';
import {readClock} from '../clock.js';

const connectTimeoutMs = 1000;
/** Maximum time between two chunks of an answer body. */
const bodyTimeoutMs = 10_000;
/** Message of the undici error for received bytes that belong to no request. */
const strayBytesMessage = 'bad response';
/** A connection that was idle for longer may have been dropped silently by a device on the network path. */
const maximumSafeIdleMs = 1000;
/** Share of one entry host: a target accepts 64 connections, and ten entry hosts use it. */
export const maxConnectionsPerTarget = 6;

export class TargetConnection {
	static create(address: string, onClose: (connection: TargetConnection) => void): TargetConnection {
		return new TargetConnection(address, onClose);
	}

	readonly client: Client;
	isBusy = true;
	/** Whether a socket was ever open. If not, nothing can have been sent. */
	hasConnected = false;
	/** The target sent more bytes than its answer declared, or bytes that are not an HTTP response. */
	hasStrayBytes = false;
	/** When the target last sent a complete answer on this connection. */
	lastAnsweredAt = 0;

	private constructor(address: string, onClose: (connection: TargetConnection) => void) {
		this.client = new Client(`http://${address}`, {
			pipelining: 1, connect: {timeout: connectTimeoutMs}, headersTimeout: 0, bodyTimeout: bodyTimeoutMs,
		});
		this.client.on('connect', () => {
			this.hasConnected = true;
		});
		this.client.on('disconnect', (_origin, _targets, error) => {
			this.hasStrayBytes ||= error.name === 'HTTPParserError' || error.message === strayBytesMessage;
			onClose(this);
		});
	}

	get isRecentlyUsed(): boolean {
		return readClock() - this.lastAnsweredAt <= maximumSafeIdleMs;
	}
}

export class TargetConnections {
	static create(address: string): TargetConnections {
		return new TargetConnections(address);
	}

	private readonly connections = new Set<TargetConnection>();

	private constructor(private readonly address: string) {}

	get size(): number {
		return this.connections.size;
	}

	/**
	 * Returns a connection for one request: the idle one that answered last if that was recent, otherwise a new one.
	 * Idempotent requests may also use one that was idle for longer, since they can be retried.
	 */
	acquire(isIdempotent: boolean, mustBeNew = false): TargetConnection {
		const idle = this.listIdle();
		const latest = idle.at(-1);
		if (latest && !mustBeNew && (latest.isRecentlyUsed || isIdempotent)) {
			latest.isBusy = true;
			return latest;
		}

		if (this.connections.size >= maxConnectionsPerTarget && idle[0]) {
			this.close(idle[0]);
		}

		return this.open();
	}

	/** Marks a connection as idle after a complete answer. */
	release(connection: TargetConnection): void {
		connection.isBusy = false;
		connection.lastAnsweredAt = readClock();
	}

	/** Closes and forgets a connection. */
	close(connection: TargetConnection): void {
		this.connections.delete(connection);
		void connection.client.destroy().catch(() => undefined);
	}

	/** Closes a connection that did not answer, and all idle ones, which may be broken in the same way. */
	closeUnresponsive(connection: TargetConnection): void {
		this.close(connection);
		for (const idle of this.listIdle()) {
			this.close(idle);
		}
	}

	closeAll(): void {
		for (const connection of this.connections) {
			this.close(connection);
		}
	}

	private open(): TargetConnection {
		const connection = TargetConnection.create(this.address, closed => {
			this.close(closed);
		});
		this.connections.add(connection);
		return connection;
	}

	/** Idle connections, ordered by the time of their last answer, latest last. */
	private listIdle(): TargetConnection[] {
		return [...this.connections].filter(connection => !connection.isBusy).toSorted((a, b) => a.lastAnsweredAt - b.lastAnsweredAt);
	}
}
