/** Remembers record ids, so that a record appended twice counts once. */
import {isRenewal} from '../planner/lease.js';
import type {LoggedRecord} from '../types/records.js';
import type {FleetState} from './state.js';

/** How long an id is kept by the fleet's clock: well over the log's retention, and over any retry of an append. */
export const recordIdKeptMs = 24 * 60 * 60 * 1000;
/** The most ids kept; the oldest go first. */
export const maxSeenRecordIds = 100_000;

/** Whether a record's id was seen before; notes it if not, and forgets the oldest. Renewals of the planner's lease are frequent and need no id. */
export function noteRecordId(fleet: FleetState, logged: LoggedRecord): boolean {
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
		const isOld = seen.at + recordIdKeptMs < fleet.clock || fleet.seenRecordIds.size > maxSeenRecordIds;
		if (!isOld) {
			return;
		}

		fleet.seenRecordIds.delete(recordId);
	}
}
