/** A crowd of clients that ignore the rules of HTTP: each opens a connection, sends what its kind says and stays open. */
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {resetSocket} from '@rhubarblever/stand-ins';

/** Connections are opened in groups, so that the host's queue of new connections does not overflow. */
const groupSize = 50;
const groupPauseMs = 20;

export type CrowdOptions = {
	/** `ip:port` */
	readonly address: string;
	readonly connections: number;
	/** Sent once on each connection, as fast as the host takes it. */
	readonly opening: Uint8Array;
	/** Sent again and again afterwards, if given. */
	readonly trickle?: {readonly bytes: Uint8Array; readonly intervalMs: number};
	/** Whether the clients read their answers. */
	readonly isReading: boolean;
};

export class Crowd {
	/** Opens all connections; connections that are refused or reset are not opened again. */
	static async open(options: CrowdOptions): Promise<Crowd> {
		const crowd = new Crowd(options);
		for (let opened = 0; opened < options.connections; opened += groupSize) {
			for (let index = opened; index < Math.min(opened + groupSize, options.connections); index++) {
				crowd.sockets.push(crowd.openConnection());
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(groupPauseMs);
		}

		crowd.startTrickle();
		return crowd;
	}

	private readonly sockets: Socket[] = [];
	private timer: NodeJS.Timeout | undefined;

	private constructor(private readonly options: CrowdOptions) {}

	/** Resets all connections, or closes those that the host is closing. */
	close(): void {
		clearInterval(this.timer);
		for (const socket of this.sockets) {
			resetSocket(socket);
		}
	}

	private openConnection(): Socket {
		const {address, opening, isReading} = this.options;
		const [ip = '', port = ''] = address.split(':');
		const socket = connect(Number(port), ip, () => {
			socket.write(opening);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		if (isReading) {
			socket.resume();
		}

		return socket;
	}

	private startTrickle(): void {
		const {trickle} = this.options;
		if (!trickle) {
			return;
		}

		this.timer = setInterval(() => {
			for (const socket of this.sockets) {
				if (socket.writable && !socket.connecting) {
					socket.write(trickle.bytes);
				}
			}
		}, trickle.intervalMs);
	}
}
