/** A server whose clients misbehave: what it lets through, in which order, and whom it closes. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setImmediate as waitForTurn, setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {BoundedServer, type BoundedServerOptions, type ReceivedRequest} from './bounded-server.js';
import {ClientBudget} from './client-budget.js';
import {defaultClientLimits} from './client-limits.js';
import type {RefusalCountsByReason} from './refusal-counts.js';

const seed = 54;
const waitLimitMs = 10_000;
const pollMs = 5;
const ampleBytes = 100_000_000;

type Client = {readonly socket: Socket; received: string; isClosed: boolean};

describe('a bounded server', () => {
	let server: BoundedServer | undefined;
	let clients: Client[] = [];
	let refusals: Record<string, number> = {};

	afterEach(() => {
		for (const {socket} of clients) {
			socket.destroy();
		}

		server?.close();
		server?.closeAllConnections();
		clients = [];
		refusals = {};
	});

	function answerAtOnce({request, body}: ReceivedRequest, response: ServerResponse): void {
		response.end(`${request.method} ${request.url} ${body.length}\n`);
	}

	async function start(options: Partial<BoundedServerOptions> = {}): Promise<void> {
		server = BoundedServer.create({
			name: 'test',
			handle: answerAtOnce,
			maxConnections: 100,
			budget: ClientBudget.create(ampleBytes),
			refusalSink: {
				report(_server, counts: RefusalCountsByReason) {
					for (const [reason, count] of Object.entries(counts)) {
						refusals[reason] = (refusals[reason] ?? 0) + count;
					}
				},
			},
			...options,
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	}

	async function open(isReading = true): Promise<Client> {
		const {port} = server!.address() as AddressInfo;
		const socket = connect(port, '127.0.0.1');
		const client: Client = {socket, received: '', isClosed: false};
		clients.push(client);
		socket.on('close', () => {
			client.isClosed = true;
		});
		socket.on('error', () => {
			client.isClosed = true;
		});
		if (isReading) {
			socket.on('data', (bytes: Uint8Array) => {
				client.received += Buffer.from(bytes).toString('latin1');
			});
		}

		await once(socket, 'connect');
		return client;
	}

	async function waitUntil(check: () => boolean): Promise<boolean> {
		for (let waitedMs = 0; waitedMs < waitLimitMs && !check(); waitedMs += pollMs) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		return check();
	}

	function listStatuses({received}: Client): number[] {
		return [...received.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) => Number(status));
	}

	function listBodies({received}: Client): string[] {
		return [...received.matchAll(/^(?:GET|POST|DELETE) .*$/gm)].map(([line]) => line);
	}

	/** Limits that a test can wait for. */
	const shortLimits = () => ({...defaultClientLimits, headerTimeoutMs: 100, idleTimeoutMs: 200});

	const requests = [
		'GET /a HTTP/1.1\r\nHost: x\r\n\r\n',
		'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 7\r\n\r\n{\n\n"a"}',
		'POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\n\n\r\n1\r\nb\r\n0\r\n\r\n',
		'POST /d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Trailer: y\r\n\r\n',
		'\r\nDELETE /e HTTP/1.1\r\nHost: x\r\n\r\n',
		'POST /f HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n',
		'POST /g HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab',
	];
	const answers = ['GET /a 0', 'POST /b 7', 'POST /c 4', 'POST /d 2', 'DELETE /e 0', 'POST /f 0', 'POST /g 2'];

	/** Guards against requests that are lost, torn or mixed up where the bytes of a connection come in other pieces. */
	it('answers requests sent ahead in their order, in whatever pieces they come', async () => {
		await start();
		const orders = fc.array(fc.nat(requests.length - 1), {minLength: 1, maxLength: 12});
		const cuts = fc.array(fc.integer({min: 1, max: 40}), {minLength: 1, maxLength: 30});
		await fc.assert(fc.asyncProperty(orders, cuts, async (order, lengths) => {
			const text = order.map(index => requests[index]).join('');
			const client = await open();
			for (let start = 0, piece = 0; start < text.length; piece++) {
				const length = lengths[piece % lengths.length]!;
				client.socket.write(text.slice(start, start + length));
				start += length;
				// eslint-disable-next-line no-await-in-loop
				await waitForTurn();
			}

			await waitUntil(() => listBodies(client).length >= order.length);
			client.socket.destroy();
			expect(listBodies(client)).toEqual(order.map(index => answers[index]!));
		}), {seed, numRuns: 60});
	});

	/** Guards against requests of one connection that are carried out at once. */
	it('starts a request when the answer to the one before has been taken', async () => {
		let atWork = 0;
		let mostAtWork = 0;
		await start({
			handle(received, response) {
				atWork++;
				mostAtWork = Math.max(mostAtWork, atWork);
				setTimeout(() => {
					atWork--;
					answerAtOnce(received, response);
				}, 1);
			},
		});
		const client = await open();
		client.socket.write(requests[0]!.repeat(50));
		expect(await waitUntil(() => listBodies(client).length === 50)).toEqual(true);
		expect(mostAtWork).toEqual(1);
	});

	/** Guards against clients that send ahead without end: the last answer says that the connection closes. */
	it('closes a connection after the most requests that may be sent ahead', async () => {
		await start({maxRequestsAhead: 10});
		const client = await open();
		client.socket.write(requests[0]!.repeat(1000));
		expect(await waitUntil(() => client.isClosed)).toEqual(true);
		expect(listStatuses(client).length).toEqual(11);
		expect(client.received.match(/connection: close/gi)?.length).toEqual(1);
	});

	/** Guards against a limit on requests ahead that a client meets which sends one at a time. */
	it('serves any number of requests that are sent one at a time', async () => {
		await start({maxRequestsAhead: 10});
		const client = await open();
		for (let sent = 1; sent <= 100; sent++) {
			client.socket.write(requests[0]!);
			// eslint-disable-next-line no-await-in-loop
			expect(await waitUntil(() => listBodies(client).length === sent)).toEqual(true);
		}
	});

	/** Guards against a client that resets its connection because the server has closed it with unread bytes, and loses the answer. */
	it('answers what is no request before it closes', async () => {
		await start();
		const malformed: ReadonlyArray<readonly [string, number]> = [
			['NONSENSE\r\n\r\n', 400],
			['GET /a HTTP/1.1\r\n\r\n', 400],
			[`GET /a HTTP/1.1\r\nHost: x\r\nX-Filler: ${'x'.repeat(20_000)}\r\n\r\n`, 431],
			['POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', 400],
			['POST /b HTTP/1.1\r\nHost: x\r\nExpect: the-unexpected\r\nContent-Length: 2\r\n\r\nab', 417],
		];
		for (const [text, status] of malformed) {
			// eslint-disable-next-line no-await-in-loop
			const client = await open();
			client.socket.write(text + requests[0]!.repeat(3));
			// eslint-disable-next-line no-await-in-loop
			expect(await waitUntil(() => client.isClosed)).toEqual(true);
			expect(listStatuses(client)).toEqual([status]);
		}
	});

	/** Guards against a body beyond the limit that is kept, or whose rest is taken for a request. */
	it('refuses a body beyond the limit and goes on with the next request', async () => {
		await start({getLimits: () => ({...defaultClientLimits, maxBodyBytes: 1000})});
		const client = await open();
		client.socket.write(`POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n${'x'.repeat(5000)}${requests[0]}`);
		client.socket.write(`POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n${`3E8\r\n${'x'.repeat(1000)}\r\n`.repeat(5)}0\r\n\r\n${requests[0]}`);
		await waitUntil(() => listStatuses(client).length === 4);
		expect(listStatuses(client)).toEqual([413, 200, 413, 200]);
	});

	/** Guards against connections that stay open for good. */
	it('closes connections that are idle, or stall within a head, a body or an answer', async () => {
		const answer = Buffer.alloc(20_000_000);
		await start({
			getLimits: shortLimits,
			bodyTimeoutMs: 10_000,
			handle(_received, response) {
				response.end(answer);
			},
		});
		const stalled = ['', 'GET /a HT', 'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 7\r\n\r\nab', requests[0]!];
		for (const text of stalled) {
			// eslint-disable-next-line no-await-in-loop
			const {socket} = await open(false);
			socket.write(text);
		}

		const countOpen = async () => new Promise<number>(resolve => {
			server!.getConnections((_error, count) => {
				resolve(count);
			});
		});
		let left = stalled.length;
		for (let waitedMs = 0; waitedMs < waitLimitMs && left > 0; waitedMs += 50) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(50);
			// eslint-disable-next-line no-await-in-loop
			left = await countOpen();
		}

		expect(left).toEqual(0);
	});

	/** Guards against a body that grows by a byte at a time for good. */
	it('closes a connection whose body takes too long, though its bytes come', async () => {
		await start({bodyTimeoutMs: 300});
		const client = await open();
		client.socket.write('POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n');
		const timer = setInterval(() => {
			client.socket.write('x');
		}, 10);
		const isClosed = await waitUntil(() => client.isClosed);
		clearInterval(timer);
		expect(isClosed).toEqual(true);
	});

	/** Guards against stalled clients that keep new ones out. */
	it('closes those that have waited longest for the sake of new connections, and never one at work', async () => {
		const finish: Array<() => void> = [];
		await start({
			maxConnections: 3,
			handle(received, response) {
				finish.push(() => {
					answerAtOnce(received, response);
				});
			},
		});
		const worker = await open();
		worker.socket.write(requests[0]!);
		await waitUntil(() => finish.length === 1);
		const stalled = [await open(), await open(), await open(), await open()];
		expect(await waitUntil(() => stalled.filter(({isClosed}) => isClosed).length === 2)).toEqual(true);
		expect([worker.isClosed, ...stalled.map(({isClosed}) => isClosed)]).toEqual([false, true, true, false, false]);
		finish[0]!();
		expect(await waitUntil(() => listBodies(worker).length === 1)).toEqual(true);
	});

	/** Guards against bodies that are not complete and together take more memory than there is. */
	it('closes incomplete requests when the memory of all clients is used up, and serves a new one', async () => {
		await start({budget: ClientBudget.create(2_000_000)});
		const stalled: Client[] = [];
		for (let index = 0; index < 20; index++) {
			// eslint-disable-next-line no-await-in-loop
			const client = await open();
			client.socket.write(`POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 200001\r\n\r\n${'x'.repeat(200_000)}`);
			stalled.push(client);
		}

		await waitUntil(() => stalled.filter(({isClosed}) => isClosed).length >= 11);
		const ordinary = await open();
		ordinary.socket.write(requests[1]!);
		expect(await waitUntil(() => listBodies(ordinary).length === 1)).toEqual(true);
		expect(stalled.filter(({isClosed}) => isClosed).length >= 11).toEqual(true);
		expect(stalled.at(-1)!.isClosed).toEqual(false);
	});

	/** Guards against a report for each client, which a crowd would turn into a flood of log lines. */
	it('reports refused clients as counts, once a second', async () => {
		let reports = 0;
		const counts: RefusalCountsByReason[] = [];
		await start({
			refusalSink: {
				report(_server, refused) {
					reports++;
					counts.push(refused);
				},
			},
		});
		for (let index = 0; index < 50; index++) {
			// eslint-disable-next-line no-await-in-loop
			const {socket} = await open();
			socket.write('NONSENSE\r\n\r\n');
		}

		const countAll = () => counts.reduce((sum, {malformed = 0}) => sum + malformed, 0);
		expect(await waitUntil(() => countAll() === 50)).toEqual(true);
		expect(reports <= 5).toEqual(true);
	});

	/** Guards against a connection that is handed over to another protocol and still read as HTTP. */
	it('passes all bytes of an upgraded connection', async () => {
		await start({
			getLimits: shortLimits,
			handleUpgrade(_request, socket, head) {
				socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n');
				socket.write(head);
				socket.on('data', (bytes: Uint8Array) => {
					socket.write(bytes);
				});
			},
		});
		const client = await open();
		client.socket.write('GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nfirst');
		await waitUntil(() => client.received.endsWith('first'));
		await sleep(2 * shortLimits().idleTimeoutMs);
		client.socket.write('\r\n\r\nsecond\r\n\r\n');
		expect(await waitUntil(() => client.received.endsWith('first\r\n\r\nsecond\r\n\r\n'))).toEqual(true);
	});
});
