/** The kinds of misbehaving clients that an entry host must survive, each with the size of its crowd. */
import {Buffer} from 'node:buffer';
import type {CrowdOptions} from './crowd.js';
import {
	createChunkedBody, createOpenHead, createPipeline, createShortBody, formatHead,
} from './payloads.js';

export type CrowdKind = Omit<CrowdOptions, 'address'> & {
	/** Which of the host's servers the crowd connects to. */
	readonly server: 'front' | 'ready' | 'metrics';
};

const readyPath = '/v1/ready';
const metricsPath = '/metrics';
/** Of pipelined requests, for each connection. */
const pipelineBytes = 3_600_000;
const nothing = Buffer.alloc(0);
const oneByte = Buffer.from('x');
const oneByteChunk = Buffer.from('1\r\nx\r\n');

/** A connection that sends requests ahead and reads no answer. */
function createUnreadPipeline(connections: number, request: string, totalBytes = pipelineBytes): CrowdKind {
	return {
		server: 'front', connections, opening: createPipeline(request, totalBytes), isReading: false,
	};
}

/** A connection that stops within its request and stays open. */
function createStalledRequest(connections: number, opening: Uint8Array): CrowdKind {
	return {
		server: 'front', connections, opening, isReading: true,
	};
}

export const crowdKinds = {
	'chunked bodies in large chunks, not ended': createStalledRequest(600, createChunkedBody(65_000, 4)),
	'chunked bodies in one-byte chunks, not ended': createStalledRequest(100, createChunkedBody(1, 24_000)),
	'bodies that stop short of their announced length': createStalledRequest(600, createShortBody(262_000, 261_000)),
	'pipelined requests without Host, answers unread': createUnreadPipeline(600, formatHead({path: '/', hasHost: false})),
	'pipelined GETs of a job, answers unread': createUnreadPipeline(50, formatHead({})),
	'pipelined GETs of a job over HTTP/1.0, answers unread': createUnreadPipeline(100, formatHead({version: '1.0', hasHost: false, headers: ['Connection: keep-alive']})),
	'pipelined empty POSTs, answers unread': createUnreadPipeline(100, formatHead({method: 'POST', headers: ['Content-Length: 0']})),
	'pipelined readiness checks at the front, answers unread': createUnreadPipeline(300, formatHead({path: readyPath})),
	'pipelined readiness checks without Host at the front, answers unread': createUnreadPipeline(300, formatHead({path: readyPath, hasHost: false})),
	'pipelined readiness checks, answers unread': {...createUnreadPipeline(300, formatHead({path: readyPath})), server: 'ready'},
	'pipelined readings of metrics, answers unread': {...createUnreadPipeline(20, formatHead({path: metricsPath})), server: 'metrics'},
	'bodies of 60,000 bytes sent ahead, answers unread': createUnreadPipeline(150, formatHead({method: 'POST', headers: ['Content-Length: 60000']}) + 'x'.repeat(60_000)),
	'idle connections': createStalledRequest(500, nothing),
	'heads that do not end': createStalledRequest(300, createOpenHead(15_000)),
	'heads that grow by a byte at a time': {...createStalledRequest(150, createOpenHead(1)), trickle: {bytes: oneByte, intervalMs: 100}},
	'bodies that grow by a byte at a time': {...createStalledRequest(150, createChunkedBody(65_000, 1)), trickle: {bytes: oneByteChunk, intervalMs: 100}},
	'chunked bodies whose trailer does not end': createStalledRequest(150, Buffer.concat([createChunkedBody(65_000, 2), Buffer.from('0\r\nX-Filler: x')])),
} as const satisfies Record<string, CrowdKind>;

export type CrowdName = keyof typeof crowdKinds;
