/** Applies records from the log or from a peer to this host's fleet state. The applied offset never decreases. */
import {applyRecord} from '../fleet/apply-record.js';
import {confirmPublishedRecord} from '../fleet/publishing.js';
import type {FleetState} from '../fleet/state.js';
import {checkJobRuns} from '../jobs/audit.js';
import {handleAppliedRecord} from '../planner/handlers.js';
import type {Effect} from '../types/effects.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import type {StartSource} from './state.js';

const maxRecentRecords = 2000;

/** Applies the records that follow this host's offset without a gap, and ignores the others. */
export function applyLoggedRecords(state: State, records: readonly LoggedRecord[]): Effect[] {
	const effects: Effect[] = [];
	for (const logged of records) {
		if (logged.offset === state.fleet.nextOffset) {
			effects.push(...applyLogged(state, logged));
		}
	}

	return [...effects, ...checkAppliedOffset(state)];
}

/** Replaces the fleet state by a whole one from a snapshot or a peer, if this host has none or an older one. */
export function replaceFleetState(state: State, fleet: FleetState, source: StartSource): Effect[] {
	const isFirst = state.log.startedFrom === undefined;
	if (!isFirst && fleet.nextOffset <= state.fleet.nextOffset) {
		return [];
	}

	Object.assign(state.fleet, fleet);
	state.log.startedFrom ??= source;
	state.log.recentRecords.length = 0;
	state.log.hasGap = false;
	state.log.snapshots.changedAt ??= state.now;
	return [
		{
			type: 'line/write', level: 'info', event: 'fleet state taken over', fields: {source, nextOffset: fleet.nextOffset, isFirst},
		},
		...checkAppliedOffset(state),
	];
}

/** Checks the invariant that the applied offset never decreases. */
export function checkAppliedOffset(state: State): Effect[] {
	const {fleet, log} = state;
	if (fleet.nextOffset >= log.highestOffset) {
		log.highestOffset = fleet.nextOffset;
		return [];
	}

	return [{type: 'invariant/violated', name: 'applied-offset', detail: `the applied offset decreased from ${log.highestOffset} to ${fleet.nextOffset}`}];
}

function applyLogged(state: State, logged: LoggedRecord): Effect[] {
	const {log} = state;
	const outcome = applyRecord(state.fleet, logged);
	if (log.pending.delete(logged.record.recordId)) {
		log.failedAppends = 0;
	}

	log.snapshots.changedAt ??= state.now;
	log.recentRecords.push(logged);
	if (log.recentRecords.length > maxRecentRecords) {
		log.recentRecords.splice(0, maxRecentRecords / 2);
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
	return [...lines, ...confirmPublishedRecord(state, logged, outcome), ...handleAppliedRecord(state, logged, outcome), ...checkJobRuns(state, logged, outcome)];
}
