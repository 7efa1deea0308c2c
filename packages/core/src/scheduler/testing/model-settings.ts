/** Settings of the scheduler for tests without network. */
import type {SchedulerSettings} from '../state.js';

export const modelSettings: SchedulerSettings = {
	holder: 'h', claimJitter: 0, capacityShortfall: 0, firstSequence: 1,
	moveMs: 1500, upkeepMs: 2000, orderLeaseMs: 3000, maxLeaseMs: 10_000, stopMs: 200, statusRetentionMs: 120_000, remoteRackFactor: 2, maxRecordBytes: 262_144,
};
