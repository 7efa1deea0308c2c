/** Shared state with real processes: outages, network cuts, lost answers, log retention and replaced entry hosts. */
import {describe, it} from 'node:test';
import {
	LocalFleet, operatorToken, sleep, waitUntil, type LocalEntryHost, type PublishableRecord,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

/** The required time for a change to be in force on all entry hosts. */
const inForceMs = 10_000;
const startMs = 30_000;
/** Short, so that a snapshot is written within a test. */
const logRetentionMs = 40_000;

type FleetView = {
	readonly nextOffset: number;
	readonly digest: string;
	readonly pools: ReadonlyArray<{readonly offset: number; readonly body: {readonly pool: string; readonly budget: {readonly minimumHealthyHosts: number}}}>;
};

type LogPage = {
	readonly records: ReadonlyArray<{readonly offset: number; readonly record: {readonly recordId: string; readonly body: unknown}}>;
	readonly firstOffset: number;
	readonly nextOffset: number;
};

/** `offset`: position of the snapshot in its stream. `nextOffset`: first offset of the log that it does not cover. */
type SnapshotPosition = {readonly offset: number; readonly nextOffset: number};

async function readStream(fleet: LocalFleet, name: string): Promise<LogPage> {
	return await fleet.callPlatform('GET', `/v1/streams/${name}/records?from=0&limit=1000`) as LogPage;
}

/** Makes the platform expire the records of a stream before an offset, and no others, even if more are written meanwhile. */
async function expireBefore(fleet: LocalFleet, name: string, offset: number): Promise<void> {
	await fleet.callPlatform('POST', `/v1/control/streams/${name}`, {expireBefore: offset});
}

/** The first chunk of the snapshot that covers the most of the log; both offsets are -1 if there is none. */
function findSnapshot(page: LogPage): SnapshotPosition {
	const positions = page.records.map(({offset, record}) => ({offset, nextOffset: (record.body as {nextOffset: number}).nextOffset}));
	const [highest = {offset: -1, nextOffset: -1}] = positions.toSorted((left, right) => right.nextOffset - left.nextOffset);
	return highest;
}

/** The ids of changes published by a test that are still in the log. */
function listChanges(page: LogPage): string[] {
	return page.records.map(({record}) => record.recordId).filter(recordId => recordId.startsWith('change-'));
}

function createPool(recordId: string, pool: string, minimumHealthyHosts: number): PublishableRecord {
	return {
		recordId, schema: 'pool', version: 1, body: {pool, minimumHealthyHosts},
	};
}

async function createFleet(): Promise<LocalFleet> {
	return LocalFleet.create({
		availabilityZones: ['zone-a', 'zone-b', 'zone-c'], entryHostsPerZone: 1, targetsPerZone: 0, services: [], isProxied: true, environment: {RHUBARBLEVER_LOG_RETENTION_MS: String(logRetentionMs)},
	});
}

async function runWithFleet(run: (fleet: LocalFleet) => Promise<void>): Promise<void> {
	const fleet = await createFleet();
	try {
		await run(fleet);
	} finally {
		await fleet.stop();
	}
}

async function readView(fleet: LocalFleet, host: LocalEntryHost): Promise<FleetView> {
	return await fleet.fetchFleet(host) as FleetView;
}

async function readViews(fleet: LocalFleet): Promise<FleetView[]> {
	return Promise.all(fleet.entryHosts.map(async host => readView(fleet, host)));
}

function isConverged(views: readonly FleetView[]): boolean {
	return views.every(view => view.nextOffset === views[0]?.nextOffset && view.digest === views[0].digest);
}

/** Publishes a record; returns an empty text, or the error message if the entry host refused it. */
async function publishOrFail(fleet: LocalFleet, record: PublishableRecord): Promise<string> {
	try {
		await fleet.publish([record]);
		return '';
	} catch (error) {
		return (error as Error).message;
	}
}

function listMinimums(view: FleetView): number[] {
	return view.pools.map(({body}) => body.budget.minimumHealthyHosts);
}

function listVerdicts(answer: unknown): string[] {
	const {published} = answer as {published: Array<{outcome: {verdict: string}}>};
	return published.map(({outcome}) => outcome.verdict);
}

/** Waits until `/v1/in-force` of a host shows the log in force on all entry hosts, and so all its peers as live. */
async function waitForLivePeers(fleet: LocalFleet, host: LocalEntryHost): Promise<void> {
	await waitUntil(`${host.hostId} sees all its peers as live`, async () => {
		const url = `http://${host.address}/v1/in-force?offset=0`;
		const response = await fetch(url, {headers: {authorization: `Bearer ${operatorToken}`}});
		const {hosts} = await response.json() as {hosts: Array<{state: string}>};
		return hosts.length === fleet.entryHosts.length && hosts.every(({state}) => state === 'in-force');
	}, inForceMs);
}

/** Waits, at most the required time, until a pool's minimum is in force on an entry host. */
async function waitForPool(fleet: LocalFleet, host: LocalEntryHost, pool: string, minimum: number): Promise<void> {
	await waitUntil(`${pool} has ${minimum} on ${host.hostId}`, async () => {
		const view = await readView(fleet, host);
		return view.pools.some(({body}) => body.pool === pool && body.budget.minimumHealthyHosts === minimum);
	}, inForceMs);
}

function getHost(fleet: LocalFleet, index: number): LocalEntryHost {
	const host = fleet.entryHosts[index];
	if (!host) {
		throw new Error(`no entry host ${index}`);
	}

	return host;
}

describe('shared state', () => {
	it('survives the replacement of all entry hosts, one after another, during an outage of the platform', async () => {
		await runWithFleet(async fleet => {
			await fleet.publish([createPool('change-1', 'trucks', 3)]);
			await Promise.all(fleet.entryHosts.map(async host => waitForPool(fleet, host, 'trucks', 3)));
			await fleet.callPlatform('PUT', '/v1/control/faults', {outageUntil: Date.now() + 600_000});
			for (let index = 0; index < 3; index++) {
				// eslint-disable-next-line no-await-in-loop
				const fresh = await fleet.addEntryHost(getHost(fleet, index).availabilityZone);
				// eslint-disable-next-line no-await-in-loop
				await fleet.waitForReady(fresh);
				// eslint-disable-next-line no-await-in-loop
				await fleet.killEntryHost(index);
				// eslint-disable-next-line no-await-in-loop
				await fleet.removeListedHost(getHost(fleet, index).hostId);
			}

			const survivors = fleet.entryHosts.slice(3);
			for (const host of survivors) {
				// eslint-disable-next-line no-await-in-loop
				await waitForPool(fleet, host, 'trucks', 3);
			}

			await fleet.callPlatform('PUT', '/v1/control/faults', {outageUntil: 0});
			await waitUntil('a change can be published again', async () => {
				await fleet.publish([createPool('change-2', 'trucks', 4)], survivors[0]);
				return true;
			}, startMs);
			await Promise.all(survivors.map(async host => waitForPool(fleet, host, 'trucks', 4)));
		});
	});

	it('reaches a zone that is cut from the platform through its peers within 10 s', async () => {
		await runWithFleet(async fleet => {
			await fleet.cutZoneFromPlatform('zone-a');
			await fleet.publish([createPool('change-1', 'trucks', 3)], getHost(fleet, 1));
			await waitForPool(fleet, getHost(fleet, 0), 'trucks', 3);
			await fleet.healAll();
			await fleet.publish([createPool('change-2', 'trucks', 5)], getHost(fleet, 2));
			await waitForPool(fleet, getHost(fleet, 0), 'trucks', 5);
			await waitUntil('digests agree', async () => isConverged(await readViews(fleet)), inForceMs);
		});
	});

	it('applies each record once although answers to appends are lost', async () => {
		await runWithFleet(async fleet => {
			await fleet.callPlatform('PUT', '/v1/control/faults', {loseAnswers: {probability: 0.7, seed: 3, methods: ['POST']}});
			const recordIds = Array.from({length: 12}, (_, index) => `change-${index}`);
			const answers: unknown[] = [];
			for (const [index, recordId] of recordIds.entries()) {
				// eslint-disable-next-line no-await-in-loop
				answers.push(await fleet.publish([createPool(recordId, `pool-${index}`, 1)], getHost(fleet, index % 3)));
			}

			expect(answers.flatMap(answer => listVerdicts(answer))).toEqual(recordIds.map(() => 'accepted'));
			await fleet.callPlatform('PUT', '/v1/control/faults', {loseAnswers: null});
			await sleep(1000);
			const page = await readStream(fleet, 'fleet');
			await waitUntil('all entry hosts have applied the log', async () => {
				const views = await readViews(fleet);
				return isConverged(views) && views[0]?.nextOffset === page.nextOffset && views[0].pools.length === recordIds.length;
			}, inForceMs);
		});
	});

	it('is complete on a host that starts after the records have expired', async () => {
		await runWithFleet(async fleet => {
			await fleet.publish([createPool('change-1', 'trucks', 3), createPool('change-2', 'maps', 2)]);
			const log = await readStream(fleet, 'fleet');
			await waitUntil('a snapshot with the changes is in the log', async () => {
				const page = await readStream(fleet, 'snapshots');
				return findSnapshot(page).nextOffset >= log.nextOffset;
			}, startMs);
			const snapshot = findSnapshot(await readStream(fleet, 'snapshots'));
			await expireBefore(fleet, 'fleet', snapshot.nextOffset);
			await expireBefore(fleet, 'snapshots', snapshot.offset);
			expect(listVerdicts(await fleet.publish([createPool('change-3', 'trucks', 4)]))).toEqual(['accepted']);
			await Promise.all([0, 1, 2].map(async index => fleet.killEntryHost(index)));
			const retained = await readStream(fleet, 'fleet');
			expect(retained.firstOffset).toEqual(snapshot.nextOffset);
			expect(listChanges(retained)).toEqual(['change-3']);
			const lateStarter = await fleet.restartEntryHost(0);
			await fleet.waitForReady(lateStarter);
			expect(lateStarter.running.output).toInclude('"source":"snapshot"');
			await waitForPool(fleet, lateStarter, 'trucks', 4);
			await waitForPool(fleet, lateStarter, 'maps', 2);
		});
	});

	it('reaches a host over new links after all its open links went silent for good', async () => {
		await runWithFleet(async fleet => {
			const host = getHost(fleet, 0);
			for (const {proxy} of fleet.links.list(link => link.from === host.hostId || link.to === host.hostId)) {
				proxy.freeze({scope: 'open'});
			}

			await fleet.publish([createPool('change-1', 'trucks', 3)], getHost(fleet, 1));
			await waitForPool(fleet, host, 'trucks', 3);
			await waitForLivePeers(fleet, host);
		});
	});

	it('converges after a frozen process resumes', async () => {
		await runWithFleet(async fleet => {
			const host = getHost(fleet, 0);
			await fleet.publish([createPool('change-1', 'trucks', 3)], host);
			host.running.sendSignal('SIGSTOP');
			await fleet.publish([createPool('change-2', 'trucks', 4)], getHost(fleet, 1));
			await sleep(4000);
			host.running.sendSignal('SIGCONT');
			await fleet.waitForReady(host);
			await waitForPool(fleet, host, 'trucks', 4);
			await waitForLivePeers(fleet, host);
			await waitUntil('digests agree', async () => isConverged(await readViews(fleet)), inForceMs);
			expect(fleet.entryHosts.map(({running}) => running.isRunning)).toEqual([true, true, true]);
		});
	});

	it('skips log entries that are not valid records', async () => {
		await runWithFleet(async fleet => {
			await fleet.callPlatform('POST', '/v1/streams/fleet/records', {records: [{nonsense: true}, 'text']});
			await fleet.publish([createPool('change-1', 'trucks', 3)]);
			await Promise.all(fleet.entryHosts.map(async host => waitForPool(fleet, host, 'trucks', 3)));
		});
	});

	it('does not regress when the platform serves an outdated log', async () => {
		await runWithFleet(async fleet => {
			await fleet.publish([createPool('change-1', 'trucks', 3), createPool('change-2', 'trucks', 4)]);
			await Promise.all(fleet.entryHosts.map(async host => waitForPool(fleet, host, 'trucks', 4)));
			await fleet.callPlatform('PUT', '/v1/control/faults', {staleLogOffset: 1});
			await fleet.killEntryHost(0);
			const fresh = await fleet.restartEntryHost(0);
			await fleet.waitForReady(fresh);
			const views = await readViews(fleet);
			expect(views.flatMap(view => listMinimums(view))).toEqual([4, 4, 4]);
		});
	});

	it('converges when the platform answers each call after 4 s', async () => {
		await runWithFleet(async fleet => {
			await fleet.callPlatform('PUT', '/v1/control/faults', {slowMs: 4000});
			await waitUntil('the change, published repeatedly with the same id, is in the log', async () => {
				const answer = await publishOrFail(fleet, createPool('change-1', 'trucks', 3));
				expect(/^$|append-unknown|log-unavailable/.test(answer)).toEqual(true);
				const view = await readView(fleet, getHost(fleet, 0));
				return view.pools.length === 1;
			}, startMs);
			await waitUntil('all entry hosts have applied the change', async () => {
				const views = await readViews(fleet);
				return isConverged(views) && views[0]?.pools.length === 1;
			}, startMs);
		});
	});
});
