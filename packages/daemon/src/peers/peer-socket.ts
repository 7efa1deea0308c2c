/** Watches an open link: one that stays silent though it is pinged is ended, so that it can be dialled anew. */
import {WebSocket} from 'ws';
import {readClock} from '../clock.js';

const checkIntervalMs = 800;
const silenceMs = 1600;

/** Ends a socket on which nothing has come for a while. The dialling end gets no messages, so its pings make a live peer answer. */
export function listenForSilence(socket: WebSocket, end: 'dialling' | 'accepting'): void {
	let heardAt = readClock();
	const noteSign = () => {
		heardAt = readClock();
	};

	socket.on('pong', noteSign);
	socket.on('ping', noteSign);
	socket.on('message', noteSign);
	const timer = setInterval(() => {
		if (readClock() - heardAt > silenceMs) {
			socket.terminate();
		} else if (end === 'dialling' && socket.readyState === WebSocket.OPEN) {
			socket.ping();
		}
	}, checkIntervalMs);
	socket.on('close', () => {
		clearInterval(timer);
	});
}
