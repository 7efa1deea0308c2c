/** The fault-injecting proxy in front of an echo server. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {takeAddress} from '../harness/addresses.js';
import {sleep, waitUntil} from '../harness/process-group.js';
import {FaultProxy} from './fault-proxy.js';

const timeoutMs = 10_000;
/** Time to wait before checking that no bytes arrived; ample for delivery on loopback. */
const quietMs = 150;

type Client = {readonly socket: Socket; text: string; isClosed: boolean};

function openClient(address: string): Client {
	const [host = '', port = ''] = address.split(':');
	const socket = connect({host, port: Number(port)});
	const client: Client = {socket, text: '', isClosed: false};
	socket.on('data', (chunk: Uint8Array) => {
		client.text += Buffer.from(chunk).toString('utf8');
	});
	socket.on('error', () => {
		client.isClosed = true;
	});
	socket.on('close', () => {
		client.isClosed = true;
	});
	return client;
}

async function waitForText(client: Client, text: string): Promise<void> {
	await waitUntil(`the client read '${text}'`, async () => client.text === text, timeoutMs);
}

async function waitForClose(client: Client): Promise<void> {
	await waitUntil('the client is closed', async () => client.isClosed, timeoutMs);
}

describe('FaultProxy', () => {
	let echo: Server;
	let proxy: FaultProxy;

	before(async () => {
		const targetAddress = takeAddress();
		const [ip, port] = targetAddress.split(':');
		echo = createServer(socket => {
			socket.on('error', () => {
				socket.destroy();
			});
			socket.pipe(socket);
		});
		echo.listen(Number(port), ip);
		await once(echo, 'listening');
		proxy = await FaultProxy.create({listenAddress: takeAddress(), targetAddress});
	});

	beforeEach(async () => {
		await proxy.heal();
	});

	after(async () => {
		await proxy.close();
		echo.close();
	});

	it('forwards bytes in both directions and closes when its client does', async () => {
		const client = openClient(proxy.listenAddress);
		client.socket.write('one');
		await waitForText(client, 'one');
		client.socket.end();
		await waitForClose(client);
		await waitUntil('no connection is left', async () => proxy.openConnections === 0, timeoutMs);
	});

	it('delays bytes and keeps their order', async () => {
		proxy.delay({'to-target': 60, 'to-client': 60});
		const client = openClient(proxy.listenAddress);
		const startedAt = Date.now();
		client.socket.write('one');
		client.socket.write('two');
		await waitForText(client, 'onetwo');
		expect(Date.now() - startedAt).toBeGreaterThanOrEqual(119);
		client.socket.destroy();
	});

	it('a cut resets open connections and refuses new ones until healed', async () => {
		const client = openClient(proxy.listenAddress);
		client.socket.write('one');
		await waitForText(client, 'one');
		await proxy.cut();
		await waitForClose(client);
		const refused = openClient(proxy.listenAddress);
		await waitForClose(refused);
		await proxy.heal();
		const fresh = openClient(proxy.listenAddress);
		fresh.socket.write('two');
		await waitForText(fresh, 'two');
		fresh.socket.destroy();
	});

	it('a cut closes a connection that is already ending', async () => {
		const client = openClient(proxy.listenAddress);
		client.socket.write('one');
		await waitForText(client, 'one');
		proxy.freeze({directions: ['to-client']});
		client.socket.end();
		await sleep(quietMs);
		await proxy.cut();
		await waitForClose(client);
		expect(proxy.openConnections).toEqual(0);
	});

	it('freezes only open connections: they receive nothing, a new one works, and healing forwards the held bytes', async () => {
		const silent = openClient(proxy.listenAddress);
		silent.socket.write('one');
		await waitForText(silent, 'one');
		proxy.freeze({scope: 'open'});
		silent.socket.write('two');
		const fresh = openClient(proxy.listenAddress);
		fresh.socket.write('three');
		await waitForText(fresh, 'three');
		await sleep(quietMs);
		expect(silent.text).toEqual('one');
		expect(silent.isClosed).toEqual(false);
		await proxy.heal();
		await waitForText(silent, 'onetwo');
		silent.socket.destroy();
		fresh.socket.destroy();
	});

	it('freezes one direction of all connections', async () => {
		proxy.freeze({directions: ['to-client']});
		const client = openClient(proxy.listenAddress);
		client.socket.write('one');
		await sleep(quietMs);
		expect(client.text).toEqual('');
		await proxy.heal();
		await waitForText(client, 'one');
		client.socket.destroy();
	});

	it('truncates after the given number of bytes', async () => {
		proxy.truncate(4);
		const client = openClient(proxy.listenAddress);
		client.socket.write('abcdefgh');
		await waitForClose(client);
		expect(client.text).toEqual('abcd');
	});
});
