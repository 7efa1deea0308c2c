/** Resets TCP connections. */
import type {Socket} from 'node:net';

/** Resets a socket; one that is already shutting down can only be closed, since libuv refuses to reset it. */
export function resetSocket(socket: Socket): void {
	if (socket.writableEnded || socket.destroyed) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
