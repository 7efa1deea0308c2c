/** Small helpers of the stand-ins' HTTP servers. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

/** Starts a server on an address. */
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

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.statusCode = status;
	response.setHeader('content-type', 'application/json');
	response.end(JSON.stringify(body));
}
