/** Watches an open link: one that stays silent though it is pinged is ended, so that it can be dialled anew. */
import {WebSocket} from 'ws';
import {readClock} from '../clock.js';

const checkIntervalMs = 800;
const silenceMs = 1600;
/** A link whose last sign is older than this is pinged. */
const pingAfterMs = 700;

/** What is watched of a socket. */
export type WatchedSocket = Pick<WebSocket, 'on' | 'ping' | 'terminate' | 'readyState'>;

/** Takes note that the other end has had what was sent then. */
export type EchoListener = (sentAt: number) => void;

/**
 * Ends a socket on which nothing has come for a while. The dialling end gets no messages:
 * there the peer's heartbeats tell over its own link what it has heard, and a ping makes a live peer answer where they do not.
 */
export function listenForSilence(socket: WatchedSocket, end: 'dialling' | 'accepting'): EchoListener {
	const openedAt = readClock();
	let signAt: number = openedAt;
	const noteSign = () => {
		signAt = readClock();
	};

	socket.on('pong', noteSign);
	socket.on('ping', noteSign);
	socket.on('message', noteSign);
	const timer = setInterval(() => {
		const ageMs = readClock() - signAt;
		if (ageMs > silenceMs) {
			socket.terminate();
		} else if (end === 'dialling' && ageMs > pingAfterMs && socket.readyState === WebSocket.OPEN) {
			socket.ping();
		}
	}, checkIntervalMs);
	socket.on('close', () => {
		clearInterval(timer);
	});
	return sentAt => {
		if (sentAt >= openedAt && sentAt <= readClock()) {
			signAt = Math.max(signAt, sentAt);
		}
	};
}
