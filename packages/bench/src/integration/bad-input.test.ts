/** Bad input at every interface of a real entry host: it answers with a typed error or closes the connection, and keeps serving. */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {
	createServiceRecord, LocalFleet, operatorToken, peerToken, waitUntil, type LocalEntryHost,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import fc from 'fast-check';
import {WebSocket} from 'ws';

const seed = 31;
const runs = 60;
const socketTimeoutMs = 300;
const answerTimeoutMs = 10_000;

let fleet: LocalFleet;
let host: LocalEntryHost;

async function isServing(): Promise<boolean> {
	const response = await fetch(`http://${host.address}/healthz`);
	return response.ok && host.running.isRunning;
}

/** Sends raw bytes on a new connection and waits until it closes or the socket times out. */
async function sendBytes(bytes: Uint8Array): Promise<void> {
	const [ip = '', port = ''] = host.address.split(':');
	await new Promise<void>(resolve => {
		const socket = connect(Number(port), ip, () => {
			socket.write(bytes);
		});
		socket.setTimeout(socketTimeoutMs, () => {
			socket.destroy();
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.resume();
		socket.on('close', () => {
			resolve();
		});
	});
}

async function post(path: string, body: string, headers: Record<string, string>): Promise<{status: number; kind: unknown}> {
	const response = await fetch(`http://${host.address}${path}`, {
		method: 'POST', body, headers, signal: AbortSignal.timeout(answerTimeoutMs),
	});
	const answer = await response.json() as {type?: unknown};
	return {status: response.status, kind: answer.type};
}

/** Returns the status of a call over an agent's connection; undefined if there is no answer in time. */
async function callWith(agent: Agent, path: string, method: string, body: string): Promise<number | undefined> {
	return new Promise(resolve => {
		const call = request(`http://${host.address}${path}`, {agent, method, headers: {'idempotency-key': 'one-connection'}}, response => {
			response.resume();
			response.once('end', () => {
				resolve(response.statusCode);
			});
		});
		call.setTimeout(answerTimeoutMs, () => {
			call.destroy();
		});
		call.on('error', () => {
			resolve(undefined);
		});
		call.end(body);
	});
}

const operatorHeaders = {authorization: `Bearer ${operatorToken}`};

describe('bad input', () => {
	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: ['ee-south-a'], entryHostsPerZone: 1, targetsPerZone: 1, services: ['routes'],
		});
		host = fleet.entryHosts[0]!;
		await fleet.publish([createServiceRecord('routes')]);
	});

	after(async () => {
		await fleet.stop();
	});

	it('survives random bytes on the port', async () => {
		await fc.assert(fc.asyncProperty(fc.uint8Array({minLength: 1, maxLength: 300}), async bytes => {
			await sendBytes(bytes);
		}), {seed, numRuns: 20});
		expect(await isServing()).toEqual(true);
	});

	it('survives a path that is not a valid URL', async () => {
		await sendBytes(Buffer.from('GET // HTTP/1.1\r\nHost: x\r\n\r\n'));
		expect(await isServing()).toEqual(true);
	});

	it('refuses malformed request headers, or reports an unknown service', async () => {
		const printable = fc.stringMatching(/^[\w !-~]{0,40}$/);
		await fc.assert(fc.asyncProperty(printable, printable, async (deadline, workClass) => {
			const answer = await post('/v1/services/no%20such', '{}', {
				'idempotency-key': 'bad-1', 'rhubarblever-deadline': deadline, 'rhubarblever-class': workClass,
			});
			expect(['bad-request', 'unknown-service', 'not-found'].includes(String(answer.kind))).toEqual(true);
			expect(answer.status).toBeLessThan(500);
		}), {seed, numRuns: runs});
		expect(await isServing()).toEqual(true);
	});

	it('refuses invalid records with an error type, and applies none of them', async () => {
		const before = await fleet.fetchFleet(host) as {pools: unknown[]; services: unknown[]};
		await fc.assert(fc.asyncProperty(fc.jsonValue(), fc.constantFrom('pool', 'service', 'wave', 'job', 'nothing'), async (body, schema) => {
			const records = [{
				recordId: 'bad-2', schema, version: 1, body,
			}];
			const answer = await post('/v1/records', JSON.stringify({records}), operatorHeaders);
			expect(['record-invalid', 'bad-request'].includes(String(answer.kind))).toEqual(true);
		}), {seed, numRuns: runs});
		const after = await fleet.fetchFleet(host) as {pools: unknown[]; services: unknown[]};
		expect([after.pools, after.services]).toEqual([before.pools, before.services]);
	});

	/** Guards against a body beyond the limit that closes the connection before its caller has read the answer. */
	it('refuses text that is not JSON and a body beyond the limit', async () => {
		expect(await post('/v1/records', '{"records": [', operatorHeaders)).toEqual({status: 400, kind: 'bad-request'});
		const large = await post('/v1/services/routes', 'x'.repeat(2_000_000), {'idempotency-key': 'large'});
		expect(large).toEqual({status: 413, kind: 'payload-too-large'});
		expect(await isServing()).toEqual(true);
	});

	/** Guards against a refused body whose rest is left unread, so that later requests on its connection get no answer. */
	it('answers the next request on the connection of a body beyond the limit', async () => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		const statuses = [
			await callWith(agent, '/v1/services/routes', 'POST', 'x'.repeat(2_000_000)),
			await callWith(agent, '/healthz', 'GET', ''),
		];
		agent.destroy();
		expect(statuses).toEqual([413, 200]);
	});

	it('drops invalid messages of a peer, and rejects a peer without the token', async () => {
		const openLink = async (token: string) => new Promise<WebSocket | undefined>(resolve => {
			const socket = new WebSocket(`ws://${host.address}/v1/peer`, {headers: {authorization: `Bearer ${token}`, 'rhubarblever-host-id': 'entry-x'}});
			socket.addEventListener('open', () => {
				resolve(socket);
			});
			socket.addEventListener('error', () => {
				resolve(undefined);
			});
		});
		expect(await openLink('a-wrong-token')).toEqual(undefined);
		const link = await openLink(peerToken);
		await fc.assert(fc.asyncProperty(fc.uint8Array({minLength: 0, maxLength: 200}), async bytes => {
			link?.send(Buffer.from(bytes));
		}), {seed, numRuns: runs});
		expect(await isServing()).toEqual(true);
		await waitUntil('a request is still answered', async () => {
			const response = await fetch(`http://${host.address}/v1/services/routes`, {
				method: 'POST', body: '{}', headers: {'idempotency-key': 'good-1', 'rhubarblever-idempotent': 'true'},
			});
			return response.ok;
		}, answerTimeoutMs);
	});
});
