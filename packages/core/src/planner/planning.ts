/** Proposes outages and moves: as many at once as the policy allows and as would be accepted, given the latest health. */
import {checkAvailabilityBudget} from '../pools/budget.js';
import type {FleetHost} from '../pools/state.js';
import type {Effect} from '../types/effects.js';
import type {HostId, OperationId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import type {Wave} from '../waves/state.js';
import {wavePolicies} from './policies.js';
import {submitHostRecord} from './proposals.js';
import {estimateLogTime} from './leadership.js';
import {listWaveViews, type WaveView} from './wave-view.js';
import {listDownWorkers} from './workers.js';

const moveDrainLimitMs = 10 * 60 * 1000;

/** Proposes the outages and moves that may start now. */
export function planFleet(state: State, term: number): Effect[] {
	return [...planMoves(state, term), ...listWaveViews(state).flatMap(view => planWave(state, view, term))];
}

function planMoves(state: State, term: number): Effect[] {
	const effects: Effect[] = [];
	for (const host of state.fleet.hosts.values()) {
		const to = host.requestedPool;
		if (to === undefined || !canLeaveService(state, host)) {
			continue;
		}

		effects.push(...submitHostRecord(state, 'move-lend', {
			hostId: host.hostId, from: host.pool, to, term, operationId: createOperationId('move', host), drainDeadline: addMilliseconds(estimateLogTime(state), moveDrainLimitMs),
		}));
	}

	return effects;
}

function planWave(state: State, view: WaveView, term: number): Effect[] {
	const {wave} = view;
	const policy = wavePolicies[wave.body.policy];
	let free = policy.chooseWidth(view) - wave.hosts.filter(host => host.state === 'out' || state.planner.proposals.has(host.hostId)).length;
	let freeForNonResumable = policy.chooseNonResumableWidth(view) - countNonResumableOut(state, view);
	const effects: Effect[] = [];
	const down = listDownWorkers(state.planner.workers);
	for (const host of policy.listInOrder(view)) {
		const isUp = !host.isDown && !down.has(host.hostId);
		const hasNonResumable = hasNonResumableTasks(view, host.hostId);
		if (free > 0 && (!hasNonResumable || freeForNonResumable > 0) && isUp && canLeaveService(state, host)) {
			free -= 1;
			freeForNonResumable -= Number(hasNonResumable);
			effects.push(...submitGrant(state, wave, host, term));
		}
	}

	return effects;
}

/** Number of hosts of a wave with non-resumable tasks that are out, or about to be. */
function countNonResumableOut(state: State, view: WaveView): number {
	return view.wave.hosts
		.filter(host => (host.state === 'out' || state.planner.proposals.has(host.hostId)) && hasNonResumableTasks(view, host.hostId))
		.length;
}

function hasNonResumableTasks(view: WaveView, hostId: HostId): boolean {
	return (view.nonResumableTasks.get(hostId) ?? 0) > 0;
}

function submitGrant(state: State, wave: Wave, host: FleetHost, term: number): Effect[] {
	return submitHostRecord(state, 'outage-grant', {
		hostId: host.hostId,
		waveId: wave.body.waveId,
		term,
		operationId: createOperationId(wave.body.waveId, host),
		drainDeadline: addMilliseconds(estimateLogTime(state), wave.body.drainLimitMs),
	});
}

/** Whether a proposal to take a host out of service would be accepted, counting pending proposals as applied and hosts listed as down as down. */
function canLeaveService(state: State, host: FleetHost): boolean {
	const {proposals} = state.planner;
	if (host.chain !== undefined || proposals.has(host.hostId)) {
		return false;
	}

	const outlook = {downHosts: listDownWorkers(state.planner.workers), leavingHosts: new Set(proposals.keys())};
	return checkAvailabilityBudget(state.fleet, host, outlook) === undefined;
}

function createOperationId(prefix: string, host: FleetHost): OperationId {
	return `${prefix}.${host.hostId}.${host.chainCount + 1}` as OperationId;
}
