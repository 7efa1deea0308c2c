/** Faults of entry hosts: kills, freezes and planned replacements. */
import type {LocalEntryHost} from '@rhubarblever/stand-ins';
import type {FaultTable, Stage} from './fault-kinds.js';
import {zones} from './fleet-shape.js';

/** A new process needs so long until it is ready again. */
const recoveryMs = 6000;

function findIndex({fleet}: Stage, hostId: string | undefined): number {
	return fleet.entryHosts.findIndex(host => host.hostId === hostId);
}

/** Notes when a host began to be out of reach; the result notes the end. */
function noteDisturbance({journal}: Stage, {hostId, address}: LocalEntryHost): () => void {
	const from = Date.now();
	const index = journal.disturbances.push({
		hostId, address, from, to: Number.POSITIVE_INFINITY,
	}) - 1;
	return () => {
		journal.disturbances[index] = {
			hostId, address, from, to: Date.now(),
		};
	};
}

/** Stops a host as planned and notes its exit code. */
async function stopHost(stage: Stage, index: number): Promise<void> {
	const {hostId, address} = stage.fleet.entryHosts[index]!;
	const from = Date.now();
	const code = await stage.fleet.stopEntryHost(index);
	stage.journal.plannedStops.push({
		hostId, address, from, to: Date.now(), code,
	});
}

/** Kinds for a fleet with so many entry hosts in each zone. */
export function createEntryHostFaults(entryHostsPerZone: number): FaultTable {
	const hosts = zones.flatMap(zone => Array.from({length: entryHostsPerZone}, (_, index) => [`entry-${zone}-${index + 1}`]));
	return {
		'entry-kill': {
			victims: hosts,
			shortestMs: 300,
			longestMs: 6000,
			recoveryMs,
			async start(stage, {names}) {
				const index = findIndex(stage, names[0]);
				const end = noteDisturbance(stage, stage.fleet.entryHosts[index]!);
				await stage.fleet.killEntryHost(index);
				return async () => {
					await stage.fleet.restartEntryHost(index);
					end();
				};
			},
		},
		'entry-freeze': {
			victims: hosts,
			shortestMs: 500,
			longestMs: 9000,
			recoveryMs,
			async start(stage, {names}) {
				const host = stage.fleet.entryHosts[findIndex(stage, names[0])]!;
				const end = noteDisturbance(stage, host);
				host.running.signal('SIGSTOP');
				return async () => {
					host.running.signal('SIGCONT');
					end();
				};
			},
		},
		'entry-replace': {
			victims: hosts,
			shortestMs: 300,
			longestMs: 4000,
			recoveryMs: recoveryMs + 10_000,
			async start(stage, {names}) {
				const index = findIndex(stage, names[0]);
				await stopHost(stage, index);
				return async () => {
					await stage.fleet.restartEntryHost(index);
				};
			},
		},
	};
}
