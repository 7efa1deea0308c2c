/** A target leaves just as a hanging platform recovers: calls that still hang from before must not delay the discovery that it is leaving. */
import {
	after, before, describe, it,
} from 'node:test';
import {
	callService, createServiceRecord, LocalFleet, sleep, waitUntil,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const service = 'routes';
const leaving = 'runner-routes-ee-south-a-1';
const hangMs = 6000;
const leavingNoticeMs = 5000;
const observationMs = 2000;
const callIntervalMs = 50;
const settleMs = 20_000;

describe('a platform that hung and recovered', () => {
	let fleet: LocalFleet;

	const isAnswered = async () => {
		const {isOwn} = await callService({
			address: fleet.entryHosts[0]!.address, service, work: {runMs: 5}, isIdempotent: true,
		});
		return isOwn;
	};

	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: ['ee-south-a'], entryHostsPerZone: 1, targetsPerZone: 2, services: [service],
		});
		await fleet.publish([
			{
				recordId: 'pool', schema: 'pool', version: 1, body: {pool: 'trucks', minimumHealthyHosts: 0},
			},
			createServiceRecord(service),
		]);
		await waitUntil('requests are answered', isAnswered, settleMs);
	});

	after(async () => {
		await fleet.stop();
	});

	it('makes a leaving target known within seconds once it answers new calls', async () => {
		await fleet.callPlatform('PUT', '/v1/control/faults', {outageUntil: Date.now() + settleMs, outageKind: 'hang'});
		await sleep(hangMs);
		await fleet.updateListedHost(leaving, {state: 'leaving'});
		await fleet.callPlatform('PUT', '/v1/control/faults', {outageUntil: null});
		const restoredAt = Date.now();
		while (Date.now() < restoredAt + leavingNoticeMs + observationMs) {
			// eslint-disable-next-line no-await-in-loop
			expect(await isAnswered()).toEqual(true);
			// eslint-disable-next-line no-await-in-loop
			await sleep(callIntervalMs);
		}

		const ledgers = await fleet.readLedgers();
		const lateRuns = ledgers.flatMap(({hostId, entries}) => hostId === leaving ? entries.filter(entry => entry.startedAt > restoredAt + leavingNoticeMs) : []);
		expect(lateRuns.length).toEqual(0);
	});
});
