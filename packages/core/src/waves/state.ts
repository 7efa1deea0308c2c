/** Maintenance waves as folded from the log. */
import type {FleetState} from '../fleet/state.js';
import type {HostId} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';
import type {WaveBody} from './bodies.js';

/** A host that fails its maintenance this often is left out of the wave. */
export const maximumFailuresPerHost = 3;

/** How far one host is within a wave. */
export type WaveHost = {
	readonly hostId: HostId;
	state: 'waiting' | 'out' | 'rebooted' | 'given-up';
	failures: number;
};

export type Wave = {
	readonly offset: Offset;
	readonly body: WaveBody;
	/** The platform's clock when the wave was accepted. */
	readonly acceptedAt: Instant;
	readonly hosts: WaveHost[];
	isCancelled: boolean;
};

/** Where a wave stands, for operators. */
export type WaveStatus = 'active' | 'ending' | 'done' | 'incomplete';

/** The status of a wave at an instant of the platform's clock. Hosts that wait and have left its pool do not count. */
export function getWaveStatus(fleet: FleetState, wave: Wave, logTime: Instant): WaveStatus {
	const hasOut = wave.hosts.some(host => host.state === 'out');
	const hasWaiting = listWaitingHosts(fleet, wave).length > 0;
	const isClosed = wave.isCancelled || logTime >= wave.body.finishBy;
	if (hasWaiting && !isClosed) {
		return 'active';
	}

	if (hasOut) {
		return isClosed ? 'ending' : 'active';
	}

	const isDone = wave.hosts.every(host => host.state === 'rebooted' || hasLeft(fleet, wave, host));
	return isDone ? 'done' : 'incomplete';
}

/** The hosts of a wave that may still be taken out. */
export function listWaitingHosts(fleet: FleetState, wave: Wave): HostId[] {
	return wave.hosts
		.filter(host => host.state === 'waiting' && !hasLeft(fleet, wave, host))
		.map(host => host.hostId);
}

function hasLeft(fleet: FleetState, wave: Wave, {hostId, state}: WaveHost): boolean {
	return state === 'waiting' && fleet.hosts.get(hostId)?.pool !== wave.body.pool;
}
