/** Tests of the harness itself: faults of proxied links affect the entry hosts, and entry hosts can be killed, restarted and added. */
import {
	after, before, describe, it,
} from 'node:test';
import {
	callService, createServiceRecord, LocalFleet, platformId, waitUntil, type LocalEntryHost,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const timeoutMs = 20_000;

const records = [
	createServiceRecord('routes'),
];

async function isReady(host: LocalEntryHost): Promise<boolean> {
	const response = await fetch(`http://${host.address}/readyz`);
	return response.ok;
}

async function isAnswered({address}: LocalEntryHost): Promise<boolean> {
	const {isOwn} = await callService({address, service: 'routes', work: {runMs: 1}});
	return isOwn;
}

describe('a proxied fleet', () => {
	let fleet: LocalFleet;

	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: ['ee-south-a', 'ee-south-b'], entryHostsPerZone: 1, targetsPerZone: 1, services: ['routes'], isProxied: true,
		});
		await fleet.publish(records);
	});

	after(async () => {
		await fleet.stop();
	});

	it('sends the calls to the platform, to peers and to targets through proxies', async () => {
		await Promise.all(fleet.entryHosts.map(async host => waitUntil('a request is answered', async () => isAnswered(host), timeoutMs)));
		expect(fleet.links.findLink('entry-ee-south-a-1', platformId)?.proxy.acceptedConnections).not.toEqual(0);
		expect(fleet.links.findLink('entry-ee-south-a-1', 'entry-ee-south-b-1')?.proxy.acceptedConnections).not.toEqual(0);
		const toTargets = fleet.links.list(link => link.to.startsWith('runner-') && link.proxy.acceptedConnections > 0);
		expect(toTargets).not.toBeEmpty();
		const ledgers = await fleet.readLedgers();
		expect(ledgers.flatMap(ledger => ledger.entries)).not.toBeEmpty();
	});

	it('cutting a zone from the platform affects only that zone, and it recovers after healing', async () => {
		const [hostA, hostB] = fleet.entryHosts;
		if (!hostA || !hostB) {
			throw new Error('two entry hosts were asked for');
		}

		await fleet.cutZoneFromPlatform('ee-south-a');
		const link = fleet.links.findLink('entry-ee-south-a-1', platformId);
		expect(link?.proxy.openConnections).toEqual(0);
		expect(await isReady(hostB)).toEqual(true);
		await fleet.healAll();
		await waitUntil('the platform is reachable again', async () => (link?.proxy.openConnections ?? 0) > 0, timeoutMs);
		await waitUntil('the zone is ready', async () => isReady(hostA), timeoutMs);
	});

	it('an entry host can be killed and restarted at its address, and another one added', async () => {
		await fleet.killEntryHost(1);
		const restarted = await fleet.restartEntryHost(1);
		await fleet.waitForReady(restarted);
		const added = await fleet.addEntryHost('ee-south-b');
		await fleet.waitForReady(added);
		await waitUntil('the added host answers', async () => isAnswered(added), timeoutMs);
	});
});
