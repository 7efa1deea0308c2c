/** Leaving targets, as reported by the host list, by the targets' own answers and by peers. */
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';

/** A report that the host list never confirms is dropped after this time. */
const unconfirmedLeavingTtlMs = 600_000;

/** Marks a target as leaving and keeps the time of the first report. */
export function markLeaving(state: State, hostId: HostId, saidAt: Instant): void {
	if (!state.targets.leaving.has(hostId)) {
		state.targets.leaving.set(hostId, saidAt);
	}
}

/** Whether a target gets no new work because it is leaving. */
export function isLeaving(state: State, hostId: HostId): boolean {
	return state.targets.leaving.has(hostId);
}

/** Drops old reports that the host list does not confirm. */
export function expireLeaving(state: State): void {
	for (const [hostId, saidAt] of state.targets.leaving) {
		const isConfirmed = state.targets.targets.get(hostId)?.listed.state === 'leaving';
		if (!isConfirmed && addMilliseconds(saidAt, unconfirmedLeavingTtlMs) < state.now) {
			state.targets.leaving.delete(hostId);
		}
	}
}
