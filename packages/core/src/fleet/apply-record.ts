/** The fold: judges one record at its place in the log and applies it, alike on every host. */
import {plannerAppliers} from '../planner/lease.js';
import {poolAppliers} from '../pools/appliers.js';
import {waveAppliers} from '../waves/appliers.js';
import type {LoggedRecord} from '../types/records.js';
import {getNextOffset, type Offset} from '../types/time.js';
import {
	decodeBody, hasDecoder, type DecodedBody, type SchemaName,
} from './decoders.js';
import type {FleetState, InForce} from './state.js';

export type RecordOutcome
	= | {readonly verdict: 'accepted'}
		| {readonly verdict: 'repeated'}
		| {readonly verdict: 'set-aside'; readonly reason: string}
		| {readonly verdict: 'void'; readonly reason: string};

/** Applies a record whose offset is the fleet's next one or later; the fleet's offset only rises. */
export function applyRecord(fleet: FleetState, logged: LoggedRecord): RecordOutcome {
	fleet.nextOffset = getNextOffset(logged.offset);
	const {record} = logged;
	if (fleet.seenRecordIds.has(record.recordId)) {
		return {verdict: 'repeated'};
	}

	fleet.seenRecordIds.add(record.recordId);
	if (!hasDecoder(record.schema, record.version)) {
		fleet.setAside.push(logged);
		return {verdict: 'set-aside', reason: `schema ${record.schema} version ${record.version} is unknown here`};
	}

	const decoded = decodeBody(record.schema, record.version, record.body);
	return decoded.match(
		body => applyBody(fleet, logged, body),
		fault => ({verdict: 'void', reason: fault.detail}),
	);
}

type Applier<Name extends SchemaName> = (fleet: FleetState, logged: LoggedRecord, body: Extract<DecodedBody, {schema: Name}>['body']) => RecordOutcome;

const appliers: {readonly [Name in SchemaName]: Applier<Name>} = {
	pool: (fleet, logged, body) => setInForce(fleet.pools, body.pool, logged, body),
	objective: (fleet, logged, body) => setInForce(fleet.objectives, body.service, logged, body),
	service: (fleet, logged, body) => setInForce(fleet.services, body.service, logged, body),
	...poolAppliers,
	...waveAppliers,
	...plannerAppliers,
};

function applyBody(fleet: FleetState, logged: LoggedRecord, decoded: DecodedBody): RecordOutcome {
	const apply = appliers[decoded.schema] as Applier<SchemaName>;
	return apply(fleet, logged, decoded.body);
}

function setInForce<Key, Body>(table: Map<Key, InForce<Body>>, key: Key, logged: LoggedRecord, body: Body): RecordOutcome {
	const current = table.get(key)?.offset;
	if (isStale(logged.record.basedOn, current)) {
		return {verdict: 'void', reason: `based on offset ${logged.record.basedOn}, but ${current ?? 'nothing'} is in force`};
	}

	table.set(key, {offset: logged.offset, body});
	return {verdict: 'accepted'};
}

function isStale(basedOn: Offset | undefined, current: Offset | undefined): boolean {
	return basedOn !== undefined && basedOn !== current;
}
