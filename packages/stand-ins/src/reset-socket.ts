/** Resets TCP connections. */
import type {Socket} from 'node:net';

/** Resets a socket with RST. A socket that is already shutting down can only be closed, because libuv refuses to reset it. */
export function resetSocket(socket: Socket): void {
	if (socket.writableEnded || socket.destroyed) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
