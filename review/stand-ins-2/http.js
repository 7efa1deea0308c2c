/** Small HTTP helpers of the stand-ins. */
import {Buffer} from 'node:buffer';
import {createServer, request} from 'node:http';

export async function readBytes(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

export function parseJson(bytes) {
	try {
		return JSON.parse(bytes.toString('utf8'));
	} catch {
		return {};
	}
}

export function sendJson(response, status, body) {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}

/** Starts a server whose handler may fail: the channel is then closed without an answer. */
export async function startServer(address, handle) {
	const [ip, port] = address.split(':');
	const server = createServer((incoming, response) => {
		handle(incoming, response).catch(() => {
			incoming.socket.destroy();
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), ip, resolve);
	});
	return server;
}

/** One call on a channel of its own. Resolves to status 0 if there is no answer within `timeoutMs`. */
export async function callHttp({address, method, path, headers = {}, body, timeoutMs}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const call = request({
			host, port: Number(port), method, path, headers: {...headers, ...(body !== undefined && {'content-type': 'application/json'})}, agent: false, signal: AbortSignal.timeout(timeoutMs),
		}, async response => {
			try {
				const bytes = await readBytes(response);
				resolve({status: response.statusCode, headers: response.headers, text: bytes.toString('utf8')});
			} catch {
				resolve({status: 0, headers: {}, text: ''});
			}
		});
		call.once('error', () => {
			resolve({status: 0, headers: {}, text: ''});
		});
		call.end(body === undefined ? undefined : JSON.stringify(body));
	});
}

export async function sleep(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Resolves to true once the check is true, to false after `timeoutMs`. */
export async function isTrueWithin(timeoutMs, check) {
	const deadline = performance.now() + timeoutMs;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop
		if (await check()) {
			return true;
		}

		if (performance.now() >= deadline) {
			return false;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(20);
	}
}
