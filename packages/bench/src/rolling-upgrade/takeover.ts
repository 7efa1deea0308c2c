/** All hosts of one build are killed while they work, and hosts of the other build take over from the stored state. */
import {sleep, waitUntil} from '@rhubarblever/stand-ins';
import type {Build, UpgradeFleet} from './upgrade-fleet.js';

const loadBeforeMs = 4000;
const loadAfterMs = 6000;
const waveStartTimeoutMs = 30_000;

export type TakeoverResult = {readonly openJobs: number; readonly upkeepsBefore: number; readonly cancelledJob: string | undefined};

/** Replaces every host's process by one of the build `to` while jobs run, a wave is in progress and a job was just cancelled. */
export async function runTakeover(fleet: UpgradeFleet, to: Build, wave: number): Promise<TakeoverResult> {
	const {load, machines, checker} = fleet.parts;
	fleet.publishWave(wave);
	const countDone = () => machines.countUpkeeps(wave).filter(count => count > 0).length;
	const state = {isReplaced: false};
	const loading = loadUntil(fleet, () => state.isReplaced);
	await sleep(loadBeforeMs);
	await waitUntil(`wave ${wave} has begun`, async () => countDone() > 0, waveStartTimeoutMs);
	const cancelledJob = await fleet.cancelOpenJob();
	const result = {openJobs: fleet.listOpenJobs().length, upkeepsBefore: countDone(), cancelledJob};
	await Promise.all(fleet.hosts.map(async host => fleet.endHost(host, 'SIGKILL')));
	for (const host of fleet.hosts) {
		fleet.startHost(host, to);
	}

	await fleet.waitForReady();
	state.isReplaced = true;
	await loading;
	await load.run(performance.now() + loadAfterMs);
	await fleet.waitForJobs();
	await fleet.waitForWave(wave);
	if (result.openJobs === 0 || cancelledJob === undefined || result.upkeepsBefore >= machines.listIds().length) {
		checker.report(`the takeover by ${to} found no unfinished work: ${JSON.stringify(result)}`);
	}

	return result;
}

async function loadUntil(fleet: UpgradeFleet, isOver: () => boolean): Promise<void> {
	const sliceMs = 500;
	while (!isOver()) {
		// eslint-disable-next-line no-await-in-loop
		await fleet.parts.load.run(performance.now() + sliceMs);
	}
}
