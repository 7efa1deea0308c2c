/** A target that leaves just as the platform answers again: calls to the platform that hang from before must not hide the news. */
import {randomUUID} from 'node:crypto';
import {
	after, before, describe, it,
} from 'node:test';
import {LocalFleet, sleep, waitUntil} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const service = 'routes';
const leaving = 'runner-routes-ee-south-a-1';
const hangMs = 6000;
const leavingNewsMs = 5000;
const watchedMs = 2000;
const callIntervalMs = 50;
const settleMs = 20_000;

describe('a platform that hung', () => {
	let fleet: LocalFleet;

	const callService = async () => {
		const response = await fetch(`http://${fleet.entryHosts[0]!.address}/v1/services/${service}`, {
			method: 'POST', body: '{"runMs":5}', headers: {'idempotency-key': randomUUID(), 'rhubarblever-idempotent': 'true'},
		});
		await response.arrayBuffer();
		return response.ok;
	};

	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: ['ee-south-a'], entryHostsPerZone: 1, targetsPerZone: 2, services: [service],
		});
		await fleet.publish([
			{
				recordId: 'pool', schema: 'pool', version: 1, body: {pool: 'trucks', minimumHealthyHosts: 0},
			},
			{
				recordId: 'service', schema: 'service', version: 1, body: {
					service, pool: 'trucks', slotsPerRunner: 8, connectionsPerRunner: 64,
				},
			},
		]);
		await waitUntil('requests are answered', callService, settleMs);
	});

	after(async () => {
		await fleet.stop();
	});

	it('tells of a leaving target within seconds once it answers new calls', async () => {
		await fleet.callPlatform('PUT', '/v1/control/faults', {outageUntil: Date.now() + settleMs, outageKind: 'hang'});
		await sleep(hangMs);
		await fleet.updateListedHost(leaving, {state: 'leaving'});
		await fleet.callPlatform('PUT', '/v1/control/faults', {outageUntil: null});
		const toldAt = Date.now();
		while (Date.now() < toldAt + leavingNewsMs + watchedMs) {
			// eslint-disable-next-line no-await-in-loop
			expect(await callService()).toEqual(true);
			// eslint-disable-next-line no-await-in-loop
			await sleep(callIntervalMs);
		}

		const ledgers = await fleet.readLedgers();
		const late = ledgers.flatMap(({hostId, entries}) => hostId === leaving ? entries.filter(entry => entry.startedAt > toldAt + leavingNewsMs) : []);
		expect(late.length).toEqual(0);
	});
});
