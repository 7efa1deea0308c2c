/** The bytes that the clients of a crowd send. */
import {Buffer} from 'node:buffer';
import {standInQueue} from '@rhubarblever/stand-ins';

/** A job that does not exist. */
const absentJobPath = `${standInQueue.pathPrefix}00000000000000aa`;
const hostLine = `Host: ${standInQueue.host}\r\n`;
const crlf = '\r\n';

export type RequestHead = {
	readonly method?: string;
	readonly path?: string;
	readonly version?: '1.0' | '1.1';
	readonly hasHost?: boolean;
	readonly headers?: readonly string[];
};

/** The head of a request, with the blank line that ends it. */
export function formatHead({
	method = 'GET', path = absentJobPath, version = '1.1', hasHost = true, headers = [],
}: RequestHead): string {
	return `${method} ${path} HTTP/${version}${crlf}${hasHost ? hostLine : ''}${headers.map(line => `${line}${crlf}`).join('')}${crlf}`;
}

/** The same request again and again, `totalBytes` in all. */
export function createPipeline(request: string, totalBytes: number): Uint8Array {
	return Buffer.from(request.repeat(Math.ceil(totalBytes / request.length)));
}

/** The beginning of a request, a job by default, whose body comes in chunks and does not end. */
export function createChunkedBody(chunkBytes: number, chunks: number, path = absentJobPath, headers: readonly string[] = []): Uint8Array {
	const chunk = `${chunkBytes.toString(16)}${crlf}${'x'.repeat(chunkBytes)}${crlf}`;
	return Buffer.from(formatHead({method: 'POST', path, headers: [...headers, 'Transfer-Encoding: chunked']}) + chunk.repeat(chunks));
}

/** A job whose body is shorter than its announced length. */
export function createShortBody(announcedBytes: number, sentBytes: number): Uint8Array {
	return Buffer.from(formatHead({method: 'POST', headers: [`Content-Length: ${announcedBytes}`]}) + 'x'.repeat(sentBytes));
}

/** A head that does not end. */
export function createOpenHead(headerBytes: number): Uint8Array {
	return Buffer.from(`GET ${absentJobPath} HTTP/1.1${crlf}${hostLine}X-Filler: ${'x'.repeat(headerBytes)}`);
}
