/** Crowds of misbehaving clients beside the daemon's own server. */
import {describe, it} from 'node:test';
import {createServiceRecord, LocalFleet} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import type {CrowdOptions} from './crowd.js';
import {fetchStatus, isAnswered} from './crowded-host.js';
import {
	createChunkedBody, createOpenHead, createPipeline, formatHead,
} from './payloads.js';
import {ProcessGauge} from './process-gauge.js';
import {listFailures} from './survival.js';

const memoryMb = 220;
const maxDescriptors = 400;
const heapMb = 100;
const servicePath = '/v1/services/routes';
const healthPath = '/healthz';
/** Of pipelined requests, for each connection. */
const pipelineBytes = 3_600_000;

const environment = {
	NODE_OPTIONS: `--max-old-space-size=${heapMb}`,
	RHUBARBLEVER_CLIENT_MEMORY_MB: '40',
	RHUBARBLEVER_MAX_CONNECTIONS: '100',
	RHUBARBLEVER_HEADER_TIMEOUT_MS: '1000',
	RHUBARBLEVER_IDLE_TIMEOUT_MS: '2000',
	RHUBARBLEVER_BODY_TIMEOUT_MS: '3000',
};

const headers = ['Idempotency-Key: crowd'];
const kinds: Readonly<Record<string, Omit<CrowdOptions, 'address'>>> = {
	'chunked bodies in large chunks, not ended': {connections: 300, opening: createChunkedBody(65_000, 15, servicePath, headers), isReading: true},
	'chunked bodies in one-byte chunks, not ended': {connections: 100, opening: createChunkedBody(1, 24_000, servicePath, headers), isReading: true},
	'pipelined health checks, answers unread': {connections: 300, opening: createPipeline(formatHead({path: healthPath}), pipelineBytes), isReading: false},
	'idle connections': {connections: 500, opening: new Uint8Array(0), isReading: true},
	'heads that do not end': {connections: 300, opening: createOpenHead(15_000), isReading: true},
};

describe('a daemon beside a crowd of misbehaving clients', () => {
	for (const [name, options] of Object.entries(kinds)) {
		/** Guards against a daemon that such clients end, stop or fill, and against ordinary callers who get no answer meanwhile. */
		it(`survives ${name}`, async () => {
			const fleet = await LocalFleet.create({
				availabilityZones: ['ee-south-a'], entryHostsPerZone: 1, targetsPerZone: 1, services: ['routes'], environment,
			});
			let requests = 0;
			try {
				await fleet.publish([createServiceRecord('routes')]);
				const {address, running} = fleet.entryHosts[0]!;
				const callService = async () => fetchStatus(`http://${address}${servicePath}`, {
					method: 'POST', body: '{}', headers: {'idempotency-key': `ordinary-${requests++}`, 'rhubarblever-idempotent': 'true'},
				});
				expect(await listFailures({
					running, gauge: ProcessGauge.create(running), memoryMb, maxDescriptors, ordinaryCalls: {'a request': async () => isAnswered(callService)},
				}, {...options, address})).toEqual([]);
			} finally {
				await fleet.stop();
			}
		});
	}
});
