/** The planner's lease with real processes: a holder that is stopped gracefully releases it. */
import {describe, it} from 'node:test';
import {LocalFleet, waitUntil, type LocalEntryHost} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const takeoverMs = 20_000;

type Lease = {readonly holder: string; readonly term: number; readonly deadline: number};
type LogPage = {readonly records: ReadonlyArray<{readonly at: number; readonly record: {readonly schema: string; readonly body: unknown}}>};

async function readLease(fleet: LocalFleet, host: LocalEntryHost): Promise<Lease | undefined> {
	const {plannerLease} = await fleet.fetchFleet(host) as {plannerLease?: Lease};
	return plannerLease;
}

async function listLeases(fleet: LocalFleet): Promise<Array<Lease & {readonly at: number}>> {
	const page = await fleet.callPlatform('GET', '/v1/streams/fleet/records?from=0&limit=1000') as LogPage;
	return page.records.filter(({record}) => record.schema === 'planner-lease').map(({at, record}) => ({...record.body as Lease, at}));
}

describe('the planner\'s lease', () => {
	it('is acquired by another host before its expiry when its holder is stopped gracefully', async () => {
		const fleet = await LocalFleet.create({
			availabilityZones: ['zone-a', 'zone-b', 'zone-c'], entryHostsPerZone: 1, targetsPerZone: 0, services: [],
		});
		try {
			let first: Lease | undefined;
			await waitUntil('a host holds the lease', async () => {
				first = await readLease(fleet, fleet.entryHosts[0]!);
				return first !== undefined;
			}, takeoverMs);
			const index = fleet.entryHosts.findIndex(host => host.hostId === first?.holder);
			expect(await fleet.stopEntryHost(index)).toEqual(0);
			await waitUntil('another host holds the lease', async () => {
				const leases = await listLeases(fleet);
				return leases.some(lease => lease.term === 2);
			}, takeoverMs);
			const leases = await listLeases(fleet);
			const expiresAt = Math.max(...leases.filter(lease => lease.term === 1).map(lease => lease.deadline));
			expect(leases.find(lease => lease.term === 2)?.at ?? Number.POSITIVE_INFINITY).toBeLessThan(expiresAt);
		} finally {
			await fleet.stop();
		}
	});
});
