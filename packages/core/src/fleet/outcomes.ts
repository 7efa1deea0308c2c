/** Outcomes of records at their place in the log, for the fold's rules. */
import type {LoggedRecord} from '../types/records.js';
import type {RecordOutcome} from './apply-record.js';
import type {FleetState} from './state.js';

/** Applies one body or says why it is void. */
export type BodyApplier<Body> = (fleet: FleetState, logged: LoggedRecord, body: Body) => RecordOutcome;

export const accepted: RecordOutcome = {verdict: 'accepted'};

/** A void outcome. */
export function rejectRecord(reason: string): RecordOutcome {
	return {verdict: 'void', reason};
}
