/** Helpers for the HTTP servers of the test doubles. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

/** Resolves once the server listens on an address. */
export async function listen(server: Server, ip: string, port: number): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, ip, resolve);
	});
}

export async function readBytes(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

export async function readJson(request: IncomingMessage): Promise<unknown> {
	const bytes = await readBytes(request);
	return JSON.parse(Buffer.from(bytes).toString('utf8')) as unknown;
}

/** Answers a read with JSON and an ETag, or with status 304 if the caller already has this body. */
export function sendTaggedJson(request: IncomingMessage, response: ServerResponse, body: unknown): void {
	const text = JSON.stringify(body);
	const tag = `"${createHash('sha1').update(text).digest('hex')}"`;
	response.setHeader('etag', tag);
	if (request.headers['if-none-match'] === tag) {
		response.statusCode = 304;
		response.end();
		return;
	}

	response.setHeader('content-type', 'application/json');
	response.end(text);
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.statusCode = status;
	response.setHeader('content-type', 'application/json');
	response.end(JSON.stringify(body));
}
