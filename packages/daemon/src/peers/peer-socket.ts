/** Checks the liveness of an open link: one that receives nothing, although it is pinged, is closed so that it can be reopened. */
import {WebSocket} from 'ws';
import {readClock} from '../clock.js';

const checkIntervalMs = 800;
const livenessTimeoutMs = 1600;
/** A link without activity for longer than this is pinged. */
const pingAfterMs = 700;

/** The part of a WebSocket that the liveness check uses. */
export type TrackedSocket = Pick<WebSocket, 'on' | 'ping' | 'terminate' | 'readyState'>;

/** Notes that the peer has received a message sent at this time. */
export type ReceiptListener = (sentAt: number) => void;

/**
 * Closes a socket that has received nothing for `livenessTimeoutMs`. The dialling side receives no messages on it. Its signs of
 * activity are the heartbeats that the peer sends on its own link, which report what it has received, and, without those, answers to pings.
 * Time in which this process did not run, so that a check came late, does not count: what arrived meanwhile has not been read yet.
 */
export function trackLiveness(socket: TrackedSocket, side: 'dialling' | 'accepting'): ReceiptListener {
	const openedAt = readClock();
	let lastActivityAt: number = openedAt;
	const noteActivity = () => {
		lastActivityAt = readClock();
	};

	socket.on('pong', noteActivity);
	socket.on('ping', noteActivity);
	socket.on('message', noteActivity);
	let checkedAt: number = openedAt;
	const timer = setInterval(() => {
		const now = readClock();
		const pausedMs = Math.max(0, now - checkedAt - checkIntervalMs);
		checkedAt = now;
		lastActivityAt = Math.min(now, lastActivityAt + pausedMs);
		const idleMs = now - lastActivityAt;
		if (idleMs > livenessTimeoutMs) {
			socket.terminate();
		} else if (side === 'dialling' && idleMs > pingAfterMs && socket.readyState === WebSocket.OPEN) {
			socket.ping();
		}
	}, checkIntervalMs);
	socket.on('close', () => {
		clearInterval(timer);
	});
	return sentAt => {
		if (sentAt >= openedAt && sentAt <= readClock()) {
			lastActivityAt = Math.max(lastActivityAt, sentAt);
		}
	};
}
