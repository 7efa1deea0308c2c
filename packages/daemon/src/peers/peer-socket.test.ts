/** Tests of the liveness check of links, with a fake socket and mocked time. */
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {expect} from 'earl';
import {WebSocket} from 'ws';
import {trackLiveness, type TrackedSocket} from './peer-socket.js';

const stepMs = 50;

/** Records pings and termination; answers pings if `isLive`. */
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

function passTime(milliseconds: number): void {
	for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += stepMs) {
		mock.timers.tick(stepMs);
	}
}

/** Runs the liveness check for a while. At each step, `getReceiptTime` returns the send time that the peer reports as received, if any. */
function runCheck(socket: FakeSocket, milliseconds: number, getReceiptTime: (now: number) => number | undefined): void {
	const noteReceipt = trackLiveness(socket as unknown as TrackedSocket, 'dialling');
	for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += stepMs) {
		mock.timers.tick(stepMs);
		const sentAt = getReceiptTime(Date.now());
		if (sentAt !== undefined) {
			noteReceipt(sentAt);
		}
	}
}

describe('the liveness check of a link', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setInterval', 'Date'], now: 1_000_000});
	});

	afterEach(() => {
		mock.timers.reset();
	});

	it('sends no pings while the peer reports that it receives messages', () => {
		const socket = new FakeSocket(true);
		runCheck(socket, 20_000, now => now - 400);
		expect([socket.pings, socket.isTerminated]).toEqual([0, false]);
	});

	it('pings when the peer reports nothing, and keeps a link that answers pings', () => {
		const socket = new FakeSocket(true);
		runCheck(socket, 8000, () => undefined);
		expect([socket.pings >= 8, socket.isTerminated]).toEqual([true, false]);
	});

	it('closes a silent link within 2.4 s, even if the peer still reports messages that were sent earlier', () => {
		const socket = new FakeSocket(false);
		runCheck(socket, 2400, now => Math.min(now - 400, 1_000_500));
		expect(socket.isTerminated).toEqual(true);
	});

	it('keeps a link after this process stood still, and closes it if it stays silent', () => {
		const socket = new FakeSocket(false);
		trackLiveness(socket as unknown as TrackedSocket, 'dialling');
		passTime(750);
		mock.timers.setTime(Date.now() + 3000);
		passTime(100);
		expect(socket.isTerminated).toEqual(false);
		passTime(2400);
		expect(socket.isTerminated).toEqual(true);
	});

	it('closes a silent link although every check comes late', () => {
		const socket = new FakeSocket(false);
		trackLiveness(socket as unknown as TrackedSocket, 'dialling');
		for (let checks = 0; checks < 3; checks += 1) {
			mock.timers.setTime(Date.now() + 700);
			mock.timers.tick(800);
		}

		expect(socket.isTerminated).toEqual(true);
	});

	it('ignores reported send times from before the link was opened or in the future', () => {
		const socket = new FakeSocket(false);
		runCheck(socket, 2400, now => now % 100 === 0 ? 999_000 : now + 60_000);
		expect(socket.isTerminated).toEqual(true);
	});
});
