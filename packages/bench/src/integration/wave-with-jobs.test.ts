/** A wave and jobs together while the planner's zone is cut off, the platform has an outage and answers are lost; checked by the platform's ledger. */
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil, type LocalEntryHost, type LocalFleet} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {
	listOverlaps, listRunsOf, measureExtremes,
} from './platform-ledger.js';
import {
	createJob, createWorkers, fetchFleetView, findPlanner, listUnexpectedExits, poolName, waitLimitMs, startWorkerFleet, waitForEnds, zones,
} from './worker-fleet.js';

const outageMs = 4000;
const movedId = 'worker-1';
const allowedRuns = 2;
const budget = {
	minimumHealthyHosts: 6, maximumHostsOut: 3, maximumHostsOutPerZone: 1, maximumHostsOutPerRack: 1,
};
const workers = createWorkers(12);
const jobIds = Array.from({length: 40}, (_, index) => `map-${index}`);
const wave = {
	recordId: 'wave-1', schema: 'wave', version: 1, body: {
		waveId: 'wave-1', pool: poolName, finishBy: Date.now() + (60 * 60 * 1000), drainLimitMs: 20_000, weights: {rollOutTime: 1, bufferCost: 1},
	},
};

const moveRecords = [
	{
		recordId: 'spare', schema: 'pool', version: 1, body: {pool: 'spare', minimumHealthyHosts: 0},
	},
	{
		recordId: 'move', schema: 'move', version: 1, body: {hostId: movedId, to: 'spare'},
	},
];

let fleet: LocalFleet;

async function waitForReboots(count: number): Promise<void> {
	await waitUntil(`${count} hosts are rebooted`, async () => {
		const ledger = await fleet.readPlatformLedger();
		return ledger.filter(entry => entry.event === 'rebooted').length >= count;
	}, waitLimitMs);
}

/** Cuts the planner's zone off from the platform, and waits until another entry host is the planner; returns an entry host that is not the cut-off planner. */
async function isolatePlanner(): Promise<LocalEntryHost> {
	const planner = await findPlanner(fleet);
	await fleet.cutZoneFromPlatform(planner.availabilityZone);
	const observer = fleet.entryHosts.find(host => host !== planner)!;
	await waitUntil('another entry host is the planner', async () => await findPlanner(fleet, observer) !== planner, waitLimitMs);
	return observer;
}

describe('a wave and jobs over real processes', () => {
	before(async () => {
		fleet = await startWorkerFleet(workers, {isProxied: true}, budget);
	});

	after(async () => {
		await fleet.stop();
	});

	it('both complete although the planner\'s zone is cut off, the platform has an outage and answers are lost', async () => {
		await fleet.callPlatform('PUT', '/v1/control/faults', {rebootMs: 700, loseAnswers: {probability: 0.2, seed: 55}});
		await fleet.publish(jobIds.map((jobId, index) => createJob(jobId, {
			allowedRuns, cores: 8, declaredRunMs: 300 + (index * 50), isResumable: index % 4 === 0,
		})));
		await fleet.publish([wave]);
		await waitForReboots(1);
		const observer = await isolatePlanner();
		await waitForReboots(4);
		await fleet.publish(moveRecords, await findPlanner(fleet, observer));
		const outageUntil = Date.now() + outageMs;
		await fleet.callPlatform('PUT', '/v1/control/faults', {outageUntil});
		await fleet.healAll();
		await waitUntil('the wave is done and the moved worker has joined', async () => {
			const {waves, poolHosts} = await fetchFleetView(fleet);
			const hasJoined = poolHosts.some(({hostId, pool}) => hostId === movedId && pool === 'spare');
			return hasJoined && waves.some(({status}) => status === 'done');
		}, waitLimitMs);
		await waitForEnds(fleet, jobIds);
		const ledger = await fleet.readPlatformLedger();
		expect(ledger.filter(entry => entry.event === 'rebooted' && entry.at > outageUntil)).not.toBeEmpty();
	});

	it('the budget was never exceeded, in total, per zone and per rack', async () => {
		const ledger = await fleet.readPlatformLedger();
		const inAll = measureExtremes(ledger, workers);
		expect(inAll.mostOut).toBeLessThanOrEqual(budget.maximumHostsOut);
		expect(inAll.leastHealthy).toBeGreaterThanOrEqual(budget.minimumHealthyHosts);
		for (const zone of zones) {
			const inZone = measureExtremes(ledger, workers.filter(worker => worker.availabilityZone === zone));
			expect(inZone.mostOut).toBeLessThanOrEqual(budget.maximumHostsOutPerZone);
		}

		for (const rack of new Set(workers.map(worker => worker.rack))) {
			const inRack = measureExtremes(ledger, workers.filter(worker => worker.rack === rack));
			expect(inRack.mostOut).toBeLessThanOrEqual(budget.maximumHostsOutPerRack);
		}
	});

	it('each worker was rebooted once without interrupting a task, and was in one pool', async () => {
		const ledger = await fleet.readPlatformLedger();
		const rebooted = ledger.filter(entry => entry.event === 'rebooted' && entry.hostId !== movedId).map(entry => entry.hostId);
		expect(rebooted.toSorted()).toEqual(workers.map(worker => worker.hostId as string).filter(hostId => hostId !== movedId).toSorted());
		expect(ledger.filter(entry => entry.event === 'task-cut')).toEqual([]);
		expect(ledger.filter(entry => entry.event === 'pool-set').map(entry => `${entry.hostId} ${entry.pool}`)).toEqual([`${movedId} spare`]);
		const {poolHosts} = await fetchFleetView(fleet);
		const expected = workers.map(({hostId}) => `${hostId} ${hostId === movedId ? 'spare' : poolName}`);
		expect(poolHosts.map(({hostId, pool}) => `${hostId} ${pool}`).toSorted()).toEqual(expected.toSorted());
	});

	it('each job succeeded within its allowed runs, one run at a time', async () => {
		const ledger = await fleet.readPlatformLedger();
		expect(listOverlaps(ledger)).toEqual([]);
		for (const jobId of jobIds) {
			const runs = listRunsOf(ledger, jobId);
			expect(runs.filter(run => run.end === 'task-succeeded').length).toEqual(1);
			// A run that was stopped after a checkpoint continues in the next run, so it does not count.
			expect(runs.filter(run => run.end !== 'task-stopped').length).toBeLessThanOrEqual(allowedRuns);
		}

		expect(listUnexpectedExits(fleet.entryHosts)).toEqual([]);
	});
});
