/** The minimal end-to-end path with real processes: an operator publishes a service, and a target answers a caller's request. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	after, before, describe, it,
} from 'node:test';
import {
	createServiceRecord, cliScript, computeAnswer, LocalFleet, operatorToken, waitUntil,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

let fleet: LocalFleet;
let folder: string;

const records = [
	{
		recordId: 'pool-1', schema: 'pool', version: 1, body: {pool: 'trucks', minimumHealthyHosts: 1},
	},
	createServiceRecord('routes'),
];

async function callService(address: string, requestId: string, body: string): Promise<Response> {
	return fetch(`http://${address}/v1/services/routes`, {method: 'POST', body, headers: {'idempotency-key': requestId}});
}

describe('the minimal end-to-end path', () => {
	before(async () => {
		folder = await mkdtemp(join(tmpdir(), 'rhubarblever-'));
		fleet = await LocalFleet.create({
			availabilityZones: ['ee-south-a', 'ee-south-b', 'ee-south-c'], entryHostsPerZone: 1, targetsPerZone: 1, services: ['routes'],
		});
	});

	after(async () => {
		await fleet.stop();
		await rm(folder, {recursive: true});
	});

	it('a published service is in force on every entry host and its requests get their own answers', async () => {
		const file = join(folder, 'records.json');
		await writeFile(file, JSON.stringify({records}));
		const publish = fleet.processes.start('cli', cliScript, ['publish', file], {
			RHUBARBLEVER_HOST: fleet.entryHosts[0]?.address,
			RHUBARBLEVER_OPERATOR_TOKEN: operatorToken,
		});
		const end = await publish.waitForEnd();
		expect(end.code).toEqual(0);
		await Promise.all(fleet.entryHosts.map(async ({address}) => {
			await waitUntil('the service answers', async () => {
				const probe = await callService(address, randomUUID(), '{}');
				return probe.ok;
			}, 10_000);
			const requestId = randomUUID();
			const body = JSON.stringify({runMs: 5});
			const response = await callService(address, requestId, body);
			expect(response.status).toEqual(200);
			expect(await response.text()).toEqual(computeAnswer(requestId, Buffer.from(body)));
		}));
	});

	it('an entry host exits with code 0 on SIGTERM', async () => {
		const host = fleet.entryHosts[0];
		host?.running.sendSignal('SIGTERM');
		const end = await host?.running.waitForEnd();
		expect(end?.code).toEqual(0);
	});
});
