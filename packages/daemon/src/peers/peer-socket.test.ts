/** Tests of the watch over open links, with a fake socket and mocked time. */
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {expect} from 'earl';
import {WebSocket} from 'ws';
import {listenForSilence, type WatchedSocket} from './peer-socket.js';

const stepMs = 50;

/** Counts what is done to it; answers pings if told to. */
class FakeSocket {
	pings = 0;
	isTerminated = false;
	readonly readyState: number = WebSocket.OPEN;
	private readonly listeners = new Map<string, () => void>();

	constructor(private readonly isLive: boolean) {}

	on(event: string, listener: () => void): void {
		this.listeners.set(event, listener);
	}

	ping(): void {
		this.pings += 1;
		if (this.isLive) {
			this.listeners.get('pong')?.();
		}
	}

	terminate(): void {
		this.isTerminated = true;
		this.listeners.get('close')?.();
	}
}

/** Watches a socket for so long; `echo` tells at each step what the peer says it has heard. */
function watch(socket: FakeSocket, milliseconds: number, echo: (now: number) => number | undefined): void {
	const noteEcho = listenForSilence(socket as unknown as WatchedSocket, 'dialling');
	for (let passed = 0; passed < milliseconds; passed += stepMs) {
		mock.timers.tick(stepMs);
		const sentAt = echo(Date.now());
		if (sentAt !== undefined) {
			noteEcho(sentAt);
		}
	}
}

describe('the watch over a link', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setInterval', 'Date'], now: 1_000_000});
	});

	afterEach(() => {
		mock.timers.reset();
	});

	it('sends no pings while the peer tells that it hears it', () => {
		const socket = new FakeSocket(true);
		watch(socket, 20_000, now => now - 400);
		expect([socket.pings, socket.isTerminated]).toEqual([0, false]);
	});

	it('pings where the peer tells nothing, and keeps a link that answers', () => {
		const socket = new FakeSocket(true);
		watch(socket, 8000, () => undefined);
		expect([socket.pings >= 8, socket.isTerminated]).toEqual([true, false]);
	});

	it('ends a link that has gone silent within 2.4 s, though echoes of what was sent before still come', () => {
		const socket = new FakeSocket(false);
		watch(socket, 2400, now => Math.min(now - 400, 1_000_500));
		expect(socket.isTerminated).toEqual(true);
	});

	it('takes no sign from echoes of an earlier link or of a time to come', () => {
		const socket = new FakeSocket(false);
		watch(socket, 2400, now => now % 100 === 0 ? 999_000 : now + 60_000);
		expect(socket.isTerminated).toEqual(true);
	});
});
