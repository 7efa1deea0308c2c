/** Applies records to this host's fleet, whether they come from the log or from a peer. The applied offset only rises. */
import {applyRecord} from '../fleet/apply-record.js';
import {releaseWaitingPublishers} from '../fleet/publishing.js';
import type {FleetState} from '../fleet/state.js';
import {checkJobRuns} from '../jobs/audit.js';
import {handleAppliedRecord} from '../planner/handlers.js';
import type {Effect} from '../types/effects.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import type {StartSource} from './state.js';

const maxRecentRecords = 2000;

/** Applies the records that follow this host's offset without a gap; the others are left. */
export function applyLoggedRecords(state: State, records: readonly LoggedRecord[]): Effect[] {
	const effects: Effect[] = [];
	for (const logged of records) {
		if (logged.offset === state.fleet.nextOffset) {
			effects.push(...applyLogged(state, logged));
		}
	}

	return [...effects, ...judgeAppliedOffset(state)];
}

/** Takes over a whole fleet state if it is ahead of this host's. */
export function takeFleetState(state: State, fleet: FleetState, source: StartSource): Effect[] {
	const isFirst = state.log.startedFrom === undefined;
	if (!isFirst && fleet.nextOffset <= state.fleet.nextOffset) {
		return [];
	}

	Object.assign(state.fleet, fleet);
	state.log.startedFrom ??= source;
	state.log.recent.length = 0;
	state.log.isGapped = false;
	state.log.snapshots.changedAt ??= state.now;
	return [
		{
			type: 'line/write', level: 'info', event: 'fleet state taken over', fields: {source, nextOffset: fleet.nextOffset, isFirst},
		},
		...judgeAppliedOffset(state),
	];
}

/** Checks that the applied offset never falls. */
export function judgeAppliedOffset(state: State): Effect[] {
	const {fleet, log} = state;
	if (fleet.nextOffset >= log.highestOffset) {
		log.highestOffset = fleet.nextOffset;
		return [];
	}

	return [{type: 'invariant/violated', name: 'applied-offset', detail: `fell from ${log.highestOffset} to ${fleet.nextOffset}`}];
}

function applyLogged(state: State, logged: LoggedRecord): Effect[] {
	const {log} = state;
	const outcome = applyRecord(state.fleet, logged);
	if (log.pending.delete(logged.record.recordId)) {
		log.failedAppends = 0;
	}

	log.snapshots.changedAt ??= state.now;
	log.recent.push(logged);
	if (log.recent.length > maxRecentRecords) {
		log.recent.splice(0, maxRecentRecords / 2);
	}

	const lines: Effect[] = outcome.verdict === 'set-aside'
		? [
			{
				type: 'line/write', level: 'warn', event: 'record set aside', fields: {offset: logged.offset, reason: outcome.reason},
			},
			{
				type: 'metric/send', kind: 'count', name: 'log.set_aside', value: 1, tags: {schema: logged.record.schema},
			},
		]
		: [];
	return [...lines, ...releaseWaitingPublishers(state, logged, outcome), ...handleAppliedRecord(state, logged, outcome), ...checkJobRuns(state, logged, outcome)];
}
