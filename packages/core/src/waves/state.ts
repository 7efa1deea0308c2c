/** Maintenance waves in the fleet state. */
import type {FleetState} from '../fleet/state.js';
import type {HostId} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';
import type {WaveBody} from './bodies.js';

/** After this many failed outages of a host, the wave gives the host up. */
export const maximumFailuresPerHost = 3;

/** Progress of one host within a wave. */
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

/**
 * Progress of a wave, as shown to operators. `ending`: cancelled or past `finishBy`, with hosts still out. `incomplete`: no host
 * is out and none will be taken out, but some hosts were not rebooted.
 */
export type WaveStatus = 'active' | 'ending' | 'done' | 'incomplete';

/** The status of a wave at an instant of the platform's clock. Waiting hosts that have left its pool do not count. */
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

	const isDone = wave.hosts.every(host => host.state === 'rebooted' || isWaitingOutsidePool(fleet, wave, host));
	return isDone ? 'done' : 'incomplete';
}

/** The hosts of a wave that wait for their outage and still belong to its pool. */
export function listWaitingHosts(fleet: FleetState, wave: Wave): HostId[] {
	return wave.hosts
		.filter(host => host.state === 'waiting' && !isWaitingOutsidePool(fleet, wave, host))
		.map(host => host.hostId);
}

function isWaitingOutsidePool(fleet: FleetState, wave: Wave, {hostId, state}: WaveHost): boolean {
	return state === 'waiting' && fleet.hosts.get(hostId)?.pool !== wave.body.pool;
}
