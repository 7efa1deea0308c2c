/** The connections to one target: each an undici client with one socket and one request at a time. */
import {Client} from 'undici';
import {readClock} from '../clock.js';

const connectTimeoutMs = 1000;
/** Longest pause between two parts of an answer. */
const bodyTimeoutMs = 10_000;
/** What undici says of bytes that belong to no request. */
const strayBytesMessage = 'bad response';
/** A connection that was idle for longer may have been forgotten by something between the two ends. */
const trustedIdleMs = 1000;
/** A target's 64 connections, shared by ten entry hosts. */
export const maxConnectionsPerTarget = 6;

export class TargetConnection {
	static create(address: string, onClose: (connection: TargetConnection) => void): TargetConnection {
		return new TargetConnection(address, onClose);
	}

	readonly client: Client;
	isBusy = true;
	/** Whether a socket was ever open: before that nothing can have been sent. */
	hasConnected = false;
	/** More bytes came than the answer declared, or bytes that are no answer. */
	hasStrayBytes = false;
	/** When the other end last answered. */
	provenAt = 0;

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

	get isTrusted(): boolean {
		return readClock() - this.provenAt <= trustedIdleMs;
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
	 * A connection for one request: the one that answered last, if that was a moment ago, else a fresh one.
	 * Idempotent requests may also take an older one, since they can be tried again.
	 */
	take(isIdempotent: boolean, needsFresh = false): TargetConnection {
		const idle = this.listIdle();
		const latest = idle.at(-1);
		if (latest && !needsFresh && (latest.isTrusted || isIdempotent)) {
			latest.isBusy = true;
			return latest;
		}

		if (this.connections.size >= maxConnectionsPerTarget && idle[0]) {
			this.close(idle[0]);
		}

		return this.open();
	}

	/** Gives a connection back after a whole answer. */
	release(connection: TargetConnection): void {
		connection.isBusy = false;
		connection.provenAt = readClock();
	}

	/** Closes a connection for good. */
	close(connection: TargetConnection): void {
		this.connections.delete(connection);
		void connection.client.destroy().catch(() => undefined);
	}

	/** Closes a connection that did not answer, and the idle ones of its age: they may be as silent. */
	closeSilent(connection: TargetConnection): void {
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

	/** Idle connections, the one that answered last at the end. */
	private listIdle(): TargetConnection[] {
		return [...this.connections].filter(connection => !connection.isBusy).toSorted((a, b) => a.provenAt - b.provenAt);
	}
}
