/** Writes to a socket, and knows since when its peer takes nothing. */
import type {Socket} from 'node:net';

export type WriteCallback = (error?: Error) => void;
export type WriteChunk = {readonly chunk: Uint8Array | string; readonly encoding: BufferEncoding};

export class SocketWriter {
	/** `computeDeadline` returns when the peer must have taken what is written now (monotonic clock). */
	static create(socket: Socket, computeDeadline: () => number): SocketWriter {
		return new SocketWriter(socket, computeDeadline);
	}

	/** When the peer must have taken what is being written; undefined while nothing is. */
	deadline: number | undefined;

	private constructor(private readonly socket: Socket, private readonly computeDeadline: () => number) {}

	/** Calls `done` when the system has taken all of it. */
	write(chunks: readonly WriteChunk[], done: WriteCallback): void {
		const finish = (error?: Error | null) => { // eslint-disable-line @typescript-eslint/no-restricted-types
			this.deadline = undefined;
			done(error ?? undefined);
		};

		this.deadline = this.computeDeadline();
		this.socket.cork();
		for (const [index, {chunk, encoding}] of chunks.entries()) {
			this.socket.write(chunk, encoding, index === chunks.length - 1 ? finish : undefined);
		}

		this.socket.uncork();
	}
}
