/** Free loopback addresses, and small helpers for HTTP on both sides. */
import {Buffer} from 'node:buffer';
import {randomInt} from 'node:crypto';
import {createServer as createHttpServer, request as sendRequest} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import process from 'node:process';

const firstBlock = 64;
const blocks = 128;
const nets = 256;
const addressesPerPid = 4;
const pidsPerNet = nets / addressesPerPid;
const pidsPerBlock = nets * pidsPerNet;

/** The loopback address of this script alone, by its process id, so that scripts at the same time share no port. */
export const loopback = `127.${firstBlock + (Math.floor(process.pid / pidsPerBlock) % blocks)}.${Math.floor(process.pid / pidsPerNet) % nets}.${((process.pid % pidsPerNet) * addressesPerPid) + 1}`;

/** Below the ports that the system gives to outgoing channels, which could take a port before its program listens there. */
const firstPort = 12_000;
const portCount = 18_000;
const maxTries = 200;
const takenPorts = new Set();

async function isFree(port) {
	const server = createTcpServer();
	const isListening = await new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, loopback, () => {
			resolve(true);
		});
	});
	await new Promise(resolve => {
		server.close(resolve);
	});
	return isListening;
}

/** A loopback address (`ip:port`) at which nobody listens. */
export async function takeAddress() {
	for (let tries = 0; tries < maxTries; tries++) {
		const port = firstPort + randomInt(portCount);
		// eslint-disable-next-line no-await-in-loop
		if (!takenPorts.has(port) && await isFree(port)) {
			takenPorts.add(port);
			return `${loopback}:${port}`;
		}
	}

	throw new Error('no free port was found');
}

/** Listens at an address; `handle` gets the request with its whole body. */
export async function serve(address, handle) {
	const server = createHttpServer(async (request, response) => {
		try {
			const chunks = [];
			for await (const chunk of request) {
				chunks.push(chunk);
			}

			await handle(request, response, Buffer.concat(chunks));
		} catch {
			// The caller broke off, or sent something unreadable.
			request.socket.destroy();
		}
	});
	const [ip, port] = address.split(':');
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), ip, resolve);
	});
	return server;
}

export function answerJson(response, status, body) {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

export function readJson(body) {
	return body.length === 0 ? {} : JSON.parse(body.toString('utf8'));
}

/** Sends one call on a channel of its own. Resolves to `{status, body}`; status 0 if there is no answer in time. */
export async function call({address, method, path, headers = {}, body, timeoutMs}) {
	const [host, port] = address.split(':');
	const text = body === undefined ? undefined : JSON.stringify(body);
	return new Promise(resolve => {
		const request = sendRequest({
			host, port: Number(port), method, path, agent: false, timeout: timeoutMs,
			headers: {...headers, ...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)})},
		}, async response => {
			try {
				const chunks = [];
				for await (const chunk of response) {
					chunks.push(chunk);
				}

				const answer = Buffer.concat(chunks).toString('utf8');
				resolve({status: response.statusCode, body: answer, ...(answer.startsWith('{') && {json: JSON.parse(answer)})});
			} catch {
				resolve({status: 0, body: ''});
			}
		});
		const limit = setTimeout(() => {
			request.destroy();
		}, timeoutMs);
		request.once('close', () => {
			clearTimeout(limit);
			resolve({status: 0, body: ''});
		});
		request.once('error', () => undefined);
		request.end(text);
	});
}

export {setTimeout as sleep} from 'node:timers/promises';
