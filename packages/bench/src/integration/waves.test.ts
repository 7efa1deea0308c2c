/** A wave with real processes while planners are killed and frozen and answers of the platform are lost; checked by the platform's ledger. */
import {
	after, before, describe, it,
} from 'node:test';
import {listedHostSchema, type ListedHost} from '@rhubarblever/core';
import {
	LocalFleet, sleep, waitUntil, type LocalEntryHost, type PlatformLedgerEntry,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {listUnexpectedExits} from './worker-fleet.js';

type FleetView = {
	readonly plannerLease?: {readonly holder: string; readonly term: number};
	readonly poolCounts: ReadonlyArray<{readonly pool: string; readonly down: number}>;
	readonly poolHosts: ReadonlyArray<{readonly hostId: string; readonly pool: string}>;
	readonly waves: ReadonlyArray<{readonly waveId: string; readonly status: string}>;
};

const zones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
const workerCount = 9;
const minimumHealthyHosts = 6;
const maximumHostsOut = 3;
const maximumHostsOutPerRack = 1;
/** Wide enough that the limit per rack takes effect, and not the limit per zone. */
const widerHostsOutPerZone = 2;
const waveTimeoutMs = 70_000;
const observationMs = 2500;
const workers = Array.from({length: workerCount}, (_, index) => listedHostSchema.parse({
	hostId: `worker-${index + 1}`,
	role: 'worker',
	availabilityZone: zones[index % zones.length],
	rack: `rack-${Math.floor(index / zones.length) % 2}`,
	address: '127.0.0.1:1',
	pool: 'guarded',
	state: 'live',
}));

let fleet: LocalFleet;

async function fetchFleetView(entryHost: LocalEntryHost): Promise<FleetView> {
	return await fleet.fetchFleet(entryHost) as FleetView;
}

async function findPlanner(among: readonly LocalEntryHost[]): Promise<LocalEntryHost> {
	const answer = await fetchFleetView(among[0]!);
	const holder = among.find(host => host.hostId === answer.plannerLease?.holder);
	if (!holder) {
		throw new Error('no running entry host holds the lease');
	}

	return holder;
}

async function waitForReboots(count: number): Promise<void> {
	await waitUntil(`${count} hosts are rebooted`, async () => {
		const ledger = await fleet.readPlatformLedger();
		return ledger.filter(entry => entry.event === 'rebooted').length >= count;
	}, waveTimeoutMs);
}

/** The most of the given workers that the ledger shows out of service at once. */
function measureMostOut(ledger: readonly PlatformLedgerEntry[], among: readonly ListedHost[] = workers): number {
	const hostIds = new Set<string>(among.map(host => host.hostId));
	const out = new Set<string>();
	let most = 0;
	for (const {event, hostId} of ledger) {
		if (event === 'drain-started' && hostIds.has(hostId)) {
			out.add(hostId);
		} else if (event === 'undrained') {
			out.delete(hostId);
		}

		most = Math.max(most, out.size);
	}

	return most;
}

/** The fewest workers that the ledger shows in service when a drain began: those that are up and neither draining nor drained. */
function measureFewestInService(ledger: readonly PlatformLedgerEntry[]): number {
	const out = new Set<string>();
	const down = new Set<string>();
	let least: number = workerCount;
	for (const {event, hostId} of ledger) {
		ledgerTransitions[event]?.(hostId, out, down);
		if (event === 'drain-started') {
			least = Math.min(least, workers.filter(worker => !out.has(worker.hostId) && !down.has(worker.hostId)).length);
		}
	}

	return least;
}

const ledgerTransitions: Readonly<Record<string, (hostId: string, out: Set<string>, down: Set<string>) => unknown>> = {
	'drain-started': (hostId, out) => out.add(hostId),
	undrained: (hostId, out) => out.delete(hostId),
	'worker-failed': (hostId, _out, down) => down.add(hostId),
	'worker-healed': (hostId, _out, down) => down.delete(hostId),
};

/** The most workers of any one rack that the ledger shows out of service at once. */
function measureMostOutInRack(ledger: readonly PlatformLedgerEntry[]): number {
	return Math.max(...workers.map(worker => measureMostOut(ledger, workers.filter(other =>
		other.availabilityZone === worker.availabilityZone && other.rack === worker.rack))));
}

/** Starts a task that still runs when its worker is drained. */
async function startTask(hostId: string): Promise<void> {
	const path = `/v1/workers/${hostId}/tasks`;
	await fleet.callPlatform('POST', path, {
		taskId: `task-${hostId}`, attempt: 1, leaseUntil: Date.now() + (10 * 60 * 1000), cores: 1, memoryBytes: 1, runMs: 6000,
	});
}

function createPoolRecord(recordId: string, maximumHostsOutPerZone: number) {
	return {
		recordId, schema: 'pool', version: 3, body: {
			pool: 'guarded', budget: {
				minimumHealthyHosts, maximumHostsOut, maximumHostsOutPerZone, maximumHostsOutPerRack,
			},
		},
	};
}

function listWaveRecords() {
	const pool = 'guarded';
	return [
		createPoolRecord('pool', 1),
		...workers.map(({hostId, availabilityZone, rack}) => ({
			recordId: `host-${hostId}`, schema: 'host', version: 1, body: {
				hostId, pool, availabilityZone, rack,
			},
		})),
		createWaveRecord('wave-1'),
	];
}

function createWaveRecord(waveId: string) {
	return {
		recordId: waveId, schema: 'wave', version: 1, body: {
			waveId, pool: 'guarded', finishBy: Date.now() + (60 * 60 * 1000), drainLimitMs: 20_000, weights: {rollOutTime: 1, bufferCost: 1},
		},
	};
}

describe('a maintenance wave over real processes', () => {
	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: zones, entryHostsPerZone: 1, targetsPerZone: 0, services: [], hosts: workers,
		});
	});

	after(async () => {
		await fleet.stop();
	});

	it('completes within its budget although planners are frozen and killed and answers are lost', async () => {
		await Promise.all(workers.map(async worker => startTask(worker.hostId)));
		await fleet.publish(listWaveRecords());
		await fleet.callPlatform('PUT', '/v1/control/faults', {rebootMs: 1500, reportLagMs: 500, loseAnswers: {probability: 0.3, seed: 7}});
		await waitForReboots(1);
		const frozen = await findPlanner(fleet.entryHosts);
		frozen.running.sendSignal('SIGSTOP');
		const awake = fleet.entryHosts.filter(host => host !== frozen);
		await waitForReboots(5);
		const killed = await findPlanner(awake);
		killed.running.sendSignal('SIGKILL');
		await killed.running.waitForEnd();
		frozen.running.sendSignal('SIGCONT');
		const left = fleet.entryHosts.filter(host => host !== killed);
		await waitUntil('the wave is done', async () => {
			const answer = await fetchFleetView(left[0]!);
			return answer.waves.some(wave => wave.status === 'done');
		}, waveTimeoutMs);
		const ledger = await fleet.readPlatformLedger();
		expect(measureMostOut(ledger) <= maximumHostsOut).toEqual(true);
		for (const zone of zones) {
			expect(measureMostOut(ledger, workers.filter(worker => worker.availabilityZone === zone)) <= 1).toEqual(true);
		}

		expect(measureMostOutInRack(ledger) <= maximumHostsOutPerRack).toEqual(true);
		expect(measureFewestInService(ledger) >= minimumHealthyHosts).toEqual(true);
		expect(new Set(ledger.filter(entry => entry.event === 'rebooted').map(entry => entry.hostId)).size).toEqual(workerCount);
		expect(ledger.filter(entry => entry.event === 'rebooted').length).toEqual(workerCount);
		expect(ledger.filter(entry => entry.event === 'task-cut').length).toEqual(0);
		expect(ledger.filter(entry => entry.event === 'task-succeeded').length).toEqual(workerCount);
		expect(listUnexpectedExits(left)).toEqual([]);
	});

	it('a wave pauses while the pool has no host to spare, and continues once hosts are healthy again', async () => {
		const host = fleet.entryHosts.find(candidate => candidate.running.isRunning)!;
		const failing = workers.slice(0, workerCount - minimumHealthyHosts);
		await Promise.all(failing.map(async ({hostId}) => fleet.callPlatform('POST', `/v1/control/workers/${hostId}`, {change: 'fail'})));
		await waitUntil('the pool has no host to spare', async () => {
			const answer = await fetchFleetView(host);
			return answer.poolCounts.some(count => count.pool === 'guarded' && count.down === failing.length);
		}, waveTimeoutMs);
		const before = await fleet.readPlatformLedger();
		await fleet.publish([createPoolRecord('wider-pool', widerHostsOutPerZone), createWaveRecord('wave-2')], host);
		await sleep(observationMs);
		const during = await fleet.readPlatformLedger();
		expect(during.slice(before.length).filter(entry => entry.event === 'drain-started')).toEqual([]);
		await Promise.all(failing.map(async ({hostId}) => fleet.callPlatform('POST', `/v1/control/workers/${hostId}`, {change: 'heal'})));
		await waitUntil('the second wave is done', async () => {
			const answer = await fetchFleetView(host);
			return answer.waves.some(wave => wave.waveId === 'wave-2' && wave.status === 'done');
		}, waveTimeoutMs);
		const ledger = await fleet.readPlatformLedger();
		expect(measureMostOut(ledger) <= maximumHostsOut).toEqual(true);
		expect(measureMostOutInRack(ledger) <= maximumHostsOutPerRack).toEqual(true);
		expect(measureFewestInService(ledger) >= minimumHealthyHosts).toEqual(true);
		for (const zone of zones) {
			expect(measureMostOut(ledger, workers.filter(worker => worker.availabilityZone === zone)) <= widerHostsOutPerZone).toEqual(true);
		}

		expect(ledger.slice(before.length).filter(entry => entry.event === 'rebooted').length).toEqual(workerCount);
	});

	it('a host is drained and moved to another pool once, and each host is in exactly one pool', async () => {
		const host = fleet.entryHosts.find(candidate => candidate.running.isRunning)!;
		const movedId = workers[0]!.hostId;
		await fleet.publish([
			{
				recordId: 'spare', schema: 'pool', version: 1, body: {pool: 'spare', minimumHealthyHosts: 0},
			},
			{
				recordId: 'move', schema: 'move', version: 1, body: {hostId: movedId, to: 'spare'},
			},
		], host);
		await waitUntil('the host has joined the other pool', async () => {
			const answer = await fetchFleetView(host);
			return answer.poolHosts.some(member => member.hostId === movedId && member.pool === 'spare');
		}, waveTimeoutMs);
		const answer = await fetchFleetView(host);
		expect(answer.poolHosts.filter(member => member.pool === 'guarded').length).toEqual(workerCount - 1);
		const ledger = await fleet.readPlatformLedger();
		const moveEntries = ledger.filter(entry => entry.operationId?.startsWith('move.'));
		expect(moveEntries.map(entry => entry.event)).toEqual(['drain-started', 'drained', 'pool-set', 'undrained']);
		expect(moveEntries.every(entry => entry.hostId === movedId)).toEqual(true);
	});
});
