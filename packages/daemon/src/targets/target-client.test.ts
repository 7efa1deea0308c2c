/** Tests of the target client with real callers and with misbehaving targets, which are raw TCP servers. */
import {Buffer} from 'node:buffer';
import {createServer as createHttpServer, type Server as HttpServer} from 'node:http';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import type {
	AttemptId, Event, HostId, Instant, RequestId,
} from '@rhubarblever/core';
import {expect} from 'earl';
import {CallTable} from '../http/call-table.js';
import {TargetClient} from './target-client.js';

type RequestHandler = (socket: Socket, attemptId: string, requestNumber: number) => void;

let servers: Array<Server | HttpServer>;
let sockets: Socket[];
let events: Event[];
let calls: CallTable;
let client: TargetClient;
let attemptCount: number;

async function startListening(server: Server | HttpServer): Promise<string> {
	servers.push(server);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a target that handles each request with `answer`; its open sockets are added to `sockets`. */
async function startTarget(answer: RequestHandler): Promise<string> {
	let requestNumber = 0;
	return startListening(createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', (chunk: Uint8Array) => {
			const attemptId = /rhubarblever-attempt-id: (\S+)/i.exec(Buffer.from(chunk).toString('utf8'))?.[1] ?? '';
			requestNumber += 1;
			answer(socket, attemptId, requestNumber);
		});
	}));
}

function formatAnswer(attemptId: string, body: string, length = body.length): string {
	return `HTTP/1.1 200 OK\r\nrhubarblever-attempt-id: ${attemptId}\r\ncontent-length: ${length}\r\n\r\n${body}`;
}

type Call = {readonly address: string; readonly isIdempotent?: boolean; readonly timeoutMs?: number; readonly body?: string};

/** Sends a request through an HTTP server that dispatches it to the target; returns the response that the caller receives. */
async function makeCall({
	address, isIdempotent = false, timeoutMs = 2000, body = '',
}: Call): Promise<{status: number; text: string; event: Event | undefined}> {
	const callerServer = createHttpServer((_request, response) => {
		attemptCount += 1;
		const callerKey = calls.register(Buffer.from(body), response);
		void client.dispatch({
			type: 'attempt/dispatch',
			attemptId: `attempt-${attemptCount}` as AttemptId,
			requestId: `request-${attemptCount}` as RequestId,
			callerKey,
			target: 'runner-1' as HostId,
			address,
			isIdempotent,
			giveUpAt: (Date.now() + timeoutMs) as Instant,
		}).then(() => {
			const event = events.at(-1);
			if (event?.type === 'attempt/failed') {
				calls.refuse(callerKey, event.fault, event.at);
			}
		});
	});
	const callerAddress = await startListening(callerServer);
	const response = await fetch(`http://${callerAddress}/`);
	const text = await response.text().catch(() => 'cut');
	return {status: response.status, text, event: events.at(-1)};
}

function getFailure(event: Event | undefined): Record<string, unknown> {
	return event?.type === 'attempt/failed'
		? {
			kind: event.fault.kind, wasSent: event.wasSent, wasRefused: event.wasRefused, hasAnswerBegun: event.hasAnswerBegun,
		}
		: {};
}

describe('TargetClient', () => {
	beforeEach(() => {
		servers = [];
		sockets = [];
		events = [];
		attemptCount = 0;
		calls = CallTable.create('entry-1');
		client = TargetClient.create(calls, event => {
			events.push(event);
		});
	});

	afterEach(() => {
		client.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		for (const server of servers) {
			server.close();
			if ('closeAllConnections' in server) {
				server.closeAllConnections();
			}
		}
	});

	it('streams a complete answer to the caller and reuses its connection', async () => {
		const address = await startTarget((socket, attemptId) => {
			socket.write(formatAnswer(attemptId, 'whole'));
		});
		for (let index = 0; index < 3; index++) {
			// eslint-disable-next-line no-await-in-loop
			const seen = await makeCall({address});
			expect(seen.text).toEqual('whole');
		}

		expect(sockets.length).toEqual(1);
	});

	it('rejects an answer that names another attempt and closes its connection', async () => {
		const address = await startTarget((socket, attemptId, requestNumber) => {
			socket.write(formatAnswer(requestNumber === 1 ? 'attempt-of-another' : attemptId, 'text'));
		});
		const crossed = await makeCall({address});
		expect(crossed.status).toEqual(502);
		expect(getFailure(crossed.event)).toEqual({
			kind: 'answer-crossed', wasSent: true, wasRefused: false, hasAnswerBegun: false,
		});
		const next = await makeCall({address});
		expect(next.text).toEqual('text');
		expect(sockets.length).toEqual(2);
	});

	it('rejects an answer that is shorter or longer than its declared length', async () => {
		const lengths = [8, 3];
		const address = await startTarget((socket, attemptId, requestNumber) => {
			socket.end(formatAnswer(attemptId, 'whole', lengths[requestNumber - 1]));
		});
		for (const _length of lengths) {
			// eslint-disable-next-line no-await-in-loop
			const seen = await makeCall({address});
			expect(seen.status).toEqual(502);
			expect(getFailure(seen.event).kind).toEqual('answer-cut');
		}
	});

	it('aborts the response to the caller when the target\'s answer is cut off after it has begun', async () => {
		const address = await startTarget((socket, attemptId) => {
			socket.write(formatAnswer(attemptId, 'x'.repeat(200_000), 400_000));
			setTimeout(() => {
				socket.destroy();
			}, 200);
		});
		const seen = await makeCall({address});
		expect(seen.text).toEqual('cut');
		expect(getFailure(seen.event).hasAnswerBegun).toEqual(true);
	});

	it('applies backpressure to a large answer when the caller reads slowly', async () => {
		const size = 64 * 1024 * 1024;
		const buffered = 16 * 1024 * 1024;
		let written = 0;
		const address = await startTarget((socket, attemptId) => {
			socket.write(formatAnswer(attemptId, '', size));
			const chunk = Buffer.alloc(256 * 1024, 'x');
			const writeMore = () => {
				while (written < size) {
					written += chunk.length;
					if (!socket.write(chunk)) {
						socket.once('drain', writeMore);
						return;
					}
				}
			};

			writeMore();
		});
		const callerServer = createHttpServer((_request, response) => {
			void client.dispatch({
				type: 'attempt/dispatch',
				attemptId: 'attempt-big' as AttemptId,
				requestId: 'request-big' as RequestId,
				callerKey: calls.register(new Uint8Array(0), response),
				target: 'runner-1' as HostId,
				address,
				isIdempotent: false,
				giveUpAt: (Date.now() + 10_000) as Instant,
			});
		});
		const response = await fetch(`http://${await startListening(callerServer)}/`);
		await new Promise(resolve => {
			setTimeout(resolve, 500);
		});
		expect(written).toBeLessThan(buffered);
		const body = await response.arrayBuffer();
		expect(body.byteLength).toEqual(size);
	});

	it('never takes a second answer on a connection for the answer to the next request', async () => {
		const address = await startTarget((socket, attemptId) => {
			socket.write(formatAnswer(attemptId, `for ${attemptId}`));
			setTimeout(() => {
				socket.write(formatAnswer(attemptId, `for ${attemptId}`));
			}, 20);
		});
		for (let index = 1; index <= 5; index++) {
			// eslint-disable-next-line no-await-in-loop
			const seen = await makeCall({address});
			expect([`for attempt-${index}`, '502']).toInclude(seen.status === 200 ? seen.text : String(seen.status));
		}
	});

	it('reports that nothing was sent when the target cannot be reached', async () => {
		const closed = createServer();
		const address = await startListening(closed);
		closed.close();
		const seen = await makeCall({address});
		expect(getFailure(seen.event)).toEqual({
			kind: 'no-target', wasSent: false, wasRefused: false, hasAnswerBegun: false,
		});
	});

	it('does not reuse an unresponsive connection or the idle connections to the same target', async () => {
		let isSilent = false;
		const silentSockets = new Set<Socket>();
		const address = await startTarget((socket, attemptId) => {
			if (isSilent && silentSockets.size === 0) {
				for (const open of sockets) {
					silentSockets.add(open);
				}
			}

			if (!silentSockets.has(socket)) {
				setTimeout(() => {
					socket.write(formatAnswer(attemptId, 'text'));
				}, 50);
			}
		});
		await Promise.all(Array.from({length: 4}, async () => makeCall({address})));
		expect(sockets.length).toEqual(4);
		isSilent = true;
		const silent = await makeCall({address, timeoutMs: 300});
		expect(getFailure(silent.event).kind).toEqual('answer-timeout');
		const after = await Promise.all(Array.from({length: 4}, async () => makeCall({address})));
		expect(after.map(seen => seen.text)).toEqual(['text', 'text', 'text', 'text']);
	});

	it('sends a non-idempotent request on a new connection if the existing one was idle for long', async () => {
		const address = await startTarget((socket, attemptId) => {
			socket.write(formatAnswer(attemptId, 'text'));
		});
		await makeCall({address});
		await new Promise(resolve => {
			setTimeout(resolve, 1300);
		});
		await makeCall({address});
		expect(sockets.length).toEqual(2);
	});
});
