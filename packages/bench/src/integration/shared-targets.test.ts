/** Several entry hosts share targets: together they respect the connection limit of a target, and its own notice that it is leaving, even if the host list lags. */
import {
	after, before, describe, it,
} from 'node:test';
import {
	callService, createServiceRecord, LocalFleet, sleep, waitUntil, type LocalEntryHost,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const zones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
const connectionsPerRunner = 64;
const settleMs = 20_000;
const leavingNoticeMs = 5000;
const longestLagMs = 60_000;

async function isAnswered({address}: LocalEntryHost, runMs: number, isIdempotent: boolean): Promise<boolean> {
	const {isOwn} = await callService({
		address, service: 'routes', work: {runMs}, isIdempotent,
	});
	return isOwn;
}

describe('targets shared by nine entry hosts', () => {
	let fleet: LocalFleet;

	async function callAll(hosts: readonly LocalEntryHost[], callsOfEach: number, runMs: number): Promise<boolean[]> {
		return Promise.all(hosts.flatMap(host => Array.from({length: callsOfEach}, async (_, index) => isAnswered(host, runMs, index % 2 === 0))));
	}

	async function countStarts(hostId: string, from: number): Promise<number> {
		const ledgers = await fleet.readLedgers();
		return ledgers.find(ledger => ledger.hostId === hostId)?.entries.filter(entry => entry.startedAt > from).length ?? 0;
	}

	/** Kills and restarts an entry host, and waits until the new process answers. */
	async function replaceHost(index: number): Promise<void> {
		await fleet.killEntryHost(index);
		const host = await fleet.restartEntryHost(index);
		await fleet.waitForReady(host);
		await waitUntil('the new host answers', async () => isAnswered(host, 5, false), settleMs);
	}

	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: zones, entryHostsPerZone: 3, targetsPerZone: 1, services: ['routes'], targetsPerProcess: 3,
		});
		await fleet.publish([createServiceRecord('routes', {connectionsPerRunner})]);
		await Promise.all(fleet.entryHosts.map(async host => waitUntil('a request is answered', async () => isAnswered(host, 1, false), settleMs)));
	});

	after(async () => {
		await fleet.stop();
	});

	it('bursts from all of them never open more connections than a target allows', async () => {
		for (let round = 0; round < 3; round++) {
			// eslint-disable-next-line no-await-in-loop
			const answers = await callAll(fleet.entryHosts, 16, 10);
			expect(answers.filter(isOwn => !isOwn)).toEqual([]);
			// eslint-disable-next-line no-await-in-loop
			await sleep(1200);
		}

		const ledgers = await fleet.readLedgers();
		expect(ledgers.map(({overfilledConnections}) => overfilledConnections)).toEqual([0, 0, 0]);
		expect(Math.max(...ledgers.map(({peakConnections}) => peakConnections))).toBeLessThanOrEqual(connectionsPerRunner);
		expect(Math.min(...ledgers.map(({entries}) => entries.length))).toBeGreaterThan(0);
	});

	it('a target that announces that it is leaving gets no new requests, though the list shows it as live, not even from hosts that start later', async () => {
		const leaving = fleet.targets[0]!.host.hostId;
		await fleet.callPlatform('PUT', '/v1/control/faults', {hostListLagMs: longestLagMs});
		await fleet.setTarget(leaving, {isLeaving: true});
		const setAt = Date.now();
		await waitUntil('the target has answered a call, and so announced that it is leaving', async () => {
			await callAll(fleet.entryHosts, 2, 5);
			return await countStarts(leaving, setAt) > 0;
		}, settleMs);
		const announcedAt = Date.now();
		await sleep(leavingNoticeMs);
		for (const index of [0, 3, 6]) {
			// eslint-disable-next-line no-await-in-loop
			await replaceHost(index);
		}

		const answers = await callAll(fleet.entryHosts, 8, 20);
		expect(answers.filter(isOwn => !isOwn)).toEqual([]);
		expect(await countStarts(leaving, announcedAt + leavingNoticeMs)).toEqual(0);
	});
});
