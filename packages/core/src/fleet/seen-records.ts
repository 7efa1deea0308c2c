/** Deduplicates records: keeps recent record ids, so that a record appended twice is applied once. */
import {isRenewal} from '../planner/lease.js';
import type {LoggedRecord} from '../types/records.js';
import type {FleetState} from './state.js';

/** How long a record id is kept, by the clock of the fleet state: well over the log's retention and over any retry of an append. */
export const recordIdRetentionMs = 24 * 60 * 60 * 1000;
/** Maximum number of ids kept; the oldest are removed first. */
export const maxSeenRecordIds = 100_000;

/** Returns whether the record's id was seen before; if not, stores it and removes old ids. Renewals of the planner's lease are frequent and need no deduplication, so their ids are not stored. */
export function trackRecordId(fleet: FleetState, logged: LoggedRecord): boolean {
	const {recordId} = logged.record;
	if (fleet.seenRecordIds.has(recordId)) {
		return true;
	}

	if (isRenewal(fleet, logged.record)) {
		return false;
	}

	fleet.seenRecordIds.set(recordId, {offset: logged.offset, at: fleet.clock});
	removeOldest(fleet);
	return false;
}

function removeOldest(fleet: FleetState): void {
	for (const [recordId, seen] of fleet.seenRecordIds) {
		const isOld = seen.at + recordIdRetentionMs < fleet.clock || fleet.seenRecordIds.size > maxSeenRecordIds;
		if (!isOld) {
			return;
		}

		fleet.seenRecordIds.delete(recordId);
	}
}
