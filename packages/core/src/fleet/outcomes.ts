/** Outcomes that the state machine's appliers return for a record. */
import type {LoggedRecord} from '../types/records.js';
import type {RecordOutcome} from './apply-record.js';
import type {FleetState} from './state.js';

/** Applies one decoded record body to the fleet state, or returns a void outcome with the reason. */
export type BodyApplier<Body> = (fleet: FleetState, logged: LoggedRecord, body: Body) => RecordOutcome;

export const accepted: RecordOutcome = {verdict: 'accepted'};

/** Creates a void outcome: the record stays in the log without effect. */
export function rejectRecord(reason: string): RecordOutcome {
	return {verdict: 'void', reason};
}
