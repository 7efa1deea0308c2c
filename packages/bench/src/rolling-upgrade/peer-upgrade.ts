/** Daemons of both builds form one peer group: each in turn is replaced by one of the other build, and all must keep the same fleet state. */
import {
	callService, createServiceRecord, LocalFleet, waitUntil, type LocalEntryHost,
} from '@rhubarblever/stand-ins';
import type {Build, BuildPrograms} from './upgrade-fleet.js';

const service = 'routes';
const callsPerHost = 20;
const callRunMs = 20;
const sameStateTimeoutMs = 20_000;
/** Short, so that hosts start from snapshots as well as from records. */
const logRetentionMs = 40_000;

type FleetView = {readonly nextOffset: number; readonly digest: string; readonly pools: readonly unknown[]};

export type PeerUpgradeResult = {readonly replaced: number; readonly published: number; readonly answered: number; readonly refused: number};

/** Replaces every daemon by one of the old build and then by one of the new build; reports violations to `report`. */
export async function runPeerUpgrade(daemons: BuildPrograms, report: (what: string) => void): Promise<PeerUpgradeResult> {
	const fleet = await LocalFleet.create({
		availabilityZones: ['zone-a', 'zone-b'], entryHostsPerZone: 2, targetsPerZone: 2, services: [service], environment: {RHUBARBLEVER_LOG_RETENTION_MS: String(logRetentionMs)},
	});
	try {
		await fleet.publish([createServiceRecord(service)]);
		return await replaceAll(fleet, daemons, report);
	} finally {
		await fleet.stop();
	}
}

async function replaceAll(fleet: LocalFleet, daemons: BuildPrograms, report: (what: string) => void): Promise<PeerUpgradeResult> {
	const scripts = new Map<string, string>();
	const start = fleet.processes.start.bind(fleet.processes);
	// Starts each host with the program of its current build.
	fleet.processes.start = (name, script, flags, environment) => start(name, scripts.get(name) ?? script, flags, environment);
	const result = {
		replaced: 0, published: 0, answered: 0, refused: 0,
	};
	for (const build of ['old', 'new'] as const satisfies readonly Build[]) {
		for (const [index, host] of fleet.entryHosts.entries()) {
			scripts.set(host.hostId, daemons[build]);
			// eslint-disable-next-line no-await-in-loop
			const code = await fleet.stopEntryHost(index);
			if (code !== 0) {
				report(`${host.hostId} exited with code ${code ?? 'none'} after SIGTERM`);
			}

			// eslint-disable-next-line no-await-in-loop
			await fleet.waitForReady(await fleet.restartEntryHost(index));
			result.replaced++;
			// eslint-disable-next-line no-await-in-loop
			await fleet.publish([createPoolRecord(result.published++)], host);
			// eslint-disable-next-line no-await-in-loop
			await waitForSameState(fleet, `${host.hostId} on the ${build} build`, report);
			// eslint-disable-next-line no-await-in-loop
			await callAll(fleet, result, report);
		}
	}

	return result;
}

function createPoolRecord(number: number) {
	return {
		recordId: `pool-of-upgrade-${number}`, schema: 'pool', version: 1, body: {pool: `pool-${number}`, minimumHealthyHosts: 0},
	};
}

async function readViews(fleet: LocalFleet): Promise<FleetView[]> {
	return Promise.all(fleet.entryHosts.map(async host => await fleet.fetchFleet(host) as FleetView));
}

/** Waits until all daemons have the same log offset and the same digest of the fleet state; reports if they do not within the timeout. */
async function waitForSameState(fleet: LocalFleet, what: string, report: (what: string) => void): Promise<void> {
	await waitUntil('all daemons have the same state', async () => {
		const views = await readViews(fleet);
		return views.every(view => view.nextOffset === views[0]?.nextOffset && view.digest === views[0].digest);
	}, sameStateTimeoutMs).catch(async () => {
		const views = await readViews(fleet);
		report(`after ${what}: the daemons still differ: offset and digest of each: ${views.map(view => `${view.nextOffset} ${view.digest.slice(0, 8)}`).join(', ')}`);
	});
}

async function callAll(fleet: LocalFleet, result: {answered: number; refused: number}, report: (what: string) => void): Promise<void> {
	const answers = await Promise.all(fleet.entryHosts.flatMap((host: LocalEntryHost) => Array.from({length: callsPerHost}, async () => callService({
		address: host.address, service, work: {runMs: callRunMs},
	}))));
	for (const answer of answers) {
		if (answer.isOwn) {
			result.answered++;
		} else if (answer.isNotRun) {
			result.refused++;
		} else {
			report(`a call was answered with status ${answer.status}: ${answer.detail}`);
		}
	}
}
