/** Leaving targets: news comes from the host list, from the target's own answers and from peers. */
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';

/** News of a target that the host list never confirms is dropped after this time. */
const unconfirmedLeavingTtlMs = 600_000;

/** Notes that a target is leaving. */
export function markLeaving(state: State, hostId: HostId, saidAt: Instant): void {
	if (!state.targets.leaving.has(hostId)) {
		state.targets.leaving.set(hostId, saidAt);
	}
}

/** Whether a target may get no new work because it leaves. */
export function isLeaving(state: State, hostId: HostId): boolean {
	return state.targets.leaving.has(hostId);
}

/** Drops old news that the host list does not confirm. */
export function expireLeaving(state: State): void {
	for (const [hostId, saidAt] of state.targets.leaving) {
		const isConfirmed = state.targets.targets.get(hostId)?.listed.state === 'leaving';
		if (!isConfirmed && addMilliseconds(saidAt, unconfirmedLeavingTtlMs) < state.now) {
			state.targets.leaving.delete(hostId);
		}
	}
}
