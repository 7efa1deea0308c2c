/** Wave policies, by name: how many hosts of a wave are out at once, and in which order they follow. */
import {isSameRack, listPoolHosts} from '../pools/budget.js';
import type {FleetHost} from '../pools/state.js';
import type {WavePolicyName} from '../waves/bodies.js';
import {addMilliseconds} from '../types/time.js';
import {listWaitingHosts} from '../waves/state.js';
import type {WaveView} from './wave-view.js';

export type WavePolicy = {
	/** Maximum number of the wave's hosts out at once; the budget may allow fewer. */
	readonly chooseWidth: (view: WaveView) => number;
	/** The waiting hosts, in the order in which to take them out. */
	readonly listInOrder: (view: WaveView) => FleetHost[];
	/** Maximum number of hosts with non-resumable tasks out at once. */
	readonly chooseNonResumableWidth: (view: WaveView) => number;
	/** Whether job placement takes the order of the waiting hosts into account (`dueRank` in jobs/placement.ts). */
	readonly isPlacementSteered: boolean;
};

/** Share of a pool's hosts that `fixed-buffer` takes out at once. */
const fixedBufferShare = 0.25;

export const wavePolicies: Readonly<Record<WavePolicyName, WavePolicy>> = {
	'fill-budget': {
		chooseWidth: computeMaximumWidth,
		listInOrder: sortByCriticalRack,
		chooseNonResumableWidth,
		isPlacementSteered: true,
	},
	'one-at-a-time': {
		chooseWidth: () => 1,
		listInOrder: listWaiting,
		chooseNonResumableWidth: getUnlimitedWidth,
		isPlacementSteered: false,
	},
	'fixed-buffer': {
		chooseWidth: ({fleet, wave}) => Math.max(1, Math.ceil(listPoolHosts(fleet, wave.body.pool).length * fixedBufferShare)),
		listInOrder: listWaiting,
		chooseNonResumableWidth: getUnlimitedWidth,
		isPlacementSteered: false,
	},
};

/** Number of rounds that hosts need; a round is one batch of hosts out at once. */
function countRounds(hostCount: number, width: number): number {
	return Math.ceil(hostCount / Math.max(1, width));
}

/** The maximum number of hosts that the budget allows out if all others are healthy. */
function computeMaximumWidth({fleet, wave, budget}: WaveView): number {
	const members = listPoolHosts(fleet, wave.body.pool);
	const zones = new Set(members.map(host => host.availabilityZone));
	return Math.max(1, Math.min(members.length - budget.minimumHealthyHosts, budget.maximumHostsOut, budget.maximumHostsOutPerZone * zones.size));
}

function getUnlimitedWidth(): number {
	return Number.POSITIVE_INFINITY;
}

/**
 * Hosts with long drains tie up capacity, so the higher the weight of the buffer cost, the fewer of them are out at once.
 * At least one, so that the wave makes progress. The full width if buffer cost has no weight, or if the remaining hosts
 * might otherwise not finish before `finishBy`, assuming that each drain takes as long as it may.
 */
function chooseNonResumableWidth(view: WaveView): number {
	const {weights: {rollOutTime, bufferCost}, finishBy, drainLimitMs} = view.wave.body;
	const width = computeMaximumWidth(view);
	const longestMs = countRounds(listWaiting(view).length, width) * drainLimitMs;
	const hasTimeToWait = bufferCost > 0 && addMilliseconds(view.now, longestMs) < finishBy;
	return hasTimeToWait ? Math.max(1, Math.floor(width * rollOutTime / (rollOutTime + bufferCost))) : width;
}

function listWaiting({fleet, wave}: WaveView): FleetHost[] {
	return listWaitingHosts(fleet, wave).map(hostId => fleet.hosts.get(hostId)).filter(host => host !== undefined);
}

type RankedHost = {readonly host: FleetHost; readonly rank: readonly number[]};

/**
 * Sorts hosts of zones that need the most rounds first, then those of critical racks, then those of racks with hosts already out,
 * then those with the fewest non-resumable tasks. A rack is critical if its own limit needs at least as many rounds as the whole wave.
 */
function sortByCriticalRack(view: WaveView): FleetHost[] {
	const waiting = listWaiting(view);
	const out = [...view.fleet.hosts.values()].filter(host => host.chain !== undefined);
	const ranked = waiting.map((host): RankedHost => {
		const inZone = waiting.filter(other => other.availabilityZone === host.availabilityZone).length;
		const inRack = waiting.filter(other => isSameRack(other, host)).length;
		const zoneRounds = countRounds(inZone, view.budget.maximumHostsOutPerZone);
		const rackRounds = countRounds(inRack, view.budget.maximumHostsOutPerRack);
		const isCriticalRack = rackRounds >= countRounds(waiting.length, view.budget.maximumHostsOut);
		const isRackOut = out.some(other => isSameRack(other, host));
		return {host, rank: [zoneRounds, Number(isCriticalRack), Number(isRackOut), -(view.nonResumableTasks.get(host.hostId) ?? 0)]};
	});
	return ranked.toSorted((one, other) => compareRanks(one, other)).map(({host}) => host);
}

function compareRanks(one: RankedHost, other: RankedHost): number {
	for (const [index, value] of one.rank.entries()) {
		const difference = (other.rank[index] ?? 0) - value;
		if (difference !== 0) {
			return difference;
		}
	}

	return one.host.hostId < other.host.hostId ? -1 : 1;
}
