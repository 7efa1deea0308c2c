/** The state machine: validates each record of the log in order and applies it to the fleet state. Deterministic, so that every host gets the same state. */
import {jobAppliers} from '../jobs/appliers.js';
import {applyEntryHostJoined} from '../claims/members.js';
import {plannerAppliers} from '../planner/lease.js';
import {poolAppliers} from '../pools/appliers.js';
import {waveAppliers} from '../waves/appliers.js';
import type {LoggedRecord} from '../types/records.js';
import {getNextOffset, type Instant, type Offset} from '../types/time.js';
import {
	decodeBody, hasDecoder, type DecodedBody, type SchemaName,
} from './decoders.js';
import {computeNextDigest, appendDigest} from './digest.js';
import {accepted, rejectRecord} from './outcomes.js';
import {trackRecordId} from './seen-records.js';
import type {FleetState, InForce} from './state.js';

export type RecordOutcome
	= | {readonly verdict: 'accepted'}
		| {readonly verdict: 'repeated'}
		| {readonly verdict: 'set-aside'; readonly reason: string}
		| {readonly verdict: 'void'; readonly reason: string};

const maxSetAsideRecords = 1000;

/** Applies the record at the fleet state's next offset. The caller has to check the offset. */
export function applyRecord(fleet: FleetState, logged: LoggedRecord): RecordOutcome {
	fleet.nextOffset = getNextOffset(logged.offset);
	fleet.clock = Math.max(fleet.clock, logged.at) as Instant;
	const processed = processRecord(fleet, logged);
	const {verdict} = processed.outcome;
	// The property names are part of the digest, which hosts compare.
	const digestInput = {
		offset: logged.offset, recordId: logged.record.recordId, verdict, body: verdict === 'accepted' ? processed.decoded : undefined,
	};
	fleet.digest = computeNextDigest(fleet.digest, digestInput);
	appendDigest(fleet.recentDigests, {offset: fleet.nextOffset, digest: fleet.digest});
	return processed.outcome;
}

type ProcessedRecord = {readonly outcome: RecordOutcome; readonly decoded?: DecodedBody};

function processRecord(fleet: FleetState, logged: LoggedRecord): ProcessedRecord {
	const {record} = logged;
	if (trackRecordId(fleet, logged)) {
		return {outcome: {verdict: 'repeated'}};
	}

	if (!hasDecoder(record.schema, record.version)) {
		return {outcome: setRecordAside(fleet, logged)};
	}

	return decodeBody(record.schema, record.version, record.body).match<ProcessedRecord>(
		decoded => ({outcome: applyBody(fleet, logged, decoded), decoded}),
		fault => ({outcome: rejectRecord(fault.detail)}),
	);
}

function setRecordAside(fleet: FleetState, logged: LoggedRecord): RecordOutcome {
	fleet.setAside.push(logged);
	if (fleet.setAside.length > maxSetAsideRecords) {
		fleet.setAside.shift();
	}

	return {verdict: 'set-aside', reason: `schema ${logged.record.schema} version ${logged.record.version} is unknown here`};
}

type Applier<Name extends SchemaName> = (fleet: FleetState, logged: LoggedRecord, body: Extract<DecodedBody, {schema: Name}>['body']) => RecordOutcome;

const appliers: {readonly [Name in SchemaName]: Applier<Name>} = {
	'entry-host-joined'(fleet, logged, body) {
		applyEntryHostJoined(fleet, logged, body);
		return accepted;
	},
	pool: (fleet, logged, body) => setInForce(fleet.pools, body.pool, logged, body),
	objective: (fleet, logged, body) => setInForce(fleet.objectives, body.service, logged, body),
	service: (fleet, logged, body) => setInForce(fleet.services, body.service, logged, body),
	...poolAppliers,
	...waveAppliers,
	...plannerAppliers,
	...jobAppliers,
};

function applyBody(fleet: FleetState, logged: LoggedRecord, decoded: DecodedBody): RecordOutcome {
	const apply = appliers[decoded.schema] as Applier<SchemaName>;
	return apply(fleet, logged, decoded.body);
}

function setInForce<Key, Body>(table: Map<Key, InForce<Body>>, key: Key, logged: LoggedRecord, body: Body): RecordOutcome {
	const current = table.get(key)?.offset;
	if (isStale(logged.record.basedOn, current)) {
		return rejectRecord(describeConflict(logged.record.basedOn, current));
	}

	table.set(key, {offset: logged.offset, body});
	return accepted;
}

function describeConflict(basedOn: Offset | undefined, current: Offset | undefined): string {
	return current === undefined
		? `based on offset ${basedOn}, but nothing is in force`
		: `based on offset ${basedOn}, but offset ${current} is in force: another change came first`;
}

function isStale(basedOn: Offset | undefined, current: Offset | undefined): boolean {
	return basedOn !== undefined && basedOn !== current;
}
