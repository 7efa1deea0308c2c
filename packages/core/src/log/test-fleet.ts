/** Test doubles for tests of the log: hosts that are driven by events only, and a log in memory. */
import {createState, listStartEffects, reduce} from '../engine/reduce.js';
import type {Effect, EffectOf, EffectType} from '../types/effects.js';
import type {Event} from '../types/events.js';
import type {AvailabilityZone, HostId, Incarnation} from '../types/ids.js';
import {logRecordSchema, type LoggedRecord, type LogRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';

/** Creates a host with the given id and peers. */
export function createTestHost(hostId: string, peers: readonly string[] = []): State {
	const describe = (id: string) => ({hostId: id as HostId, availabilityZone: 'zone-a' as AvailabilityZone, address: `127.0.0.1:70${id.at(-1)}`});
	return createState({
		self: describe(hostId), incarnation: `life-of-${hostId}` as Incarnation, peers: peers.map(id => describe(id)), routingPolicy: 'least-outstanding', logRetentionMs: 240_000, seed: 7,
	});
}

/** Creates a pool record; `minimumHealthyHosts` makes records differ from each other. */
export function createPoolRecord(recordId: string, minimumHealthyHosts = 1): LogRecord {
	return logRecordSchema.parse({
		recordId, schema: 'pool', version: 1, body: {pool: 'trucks', minimumHealthyHosts},
	});
}

/** Creates `count` records with offsets that start at 0. */
export function createTestLog(count: number): LoggedRecord[] {
	return Array.from({length: count}, (_, index) => ({
		offset: index as Offset, at: (1000 + index) as Instant, record: createPoolRecord(`record-${index}`, index),
	}));
}

/** Creates the event for one page of the log as the platform returns it. */
export function createPage(at: number, records: readonly LoggedRecord[], firstOffset: number, nextOffset: number): Event {
	return {
		type: 'log/read', at: at as Instant, records, firstOffset: firstOffset as Offset, nextOffset: nextOffset as Offset,
	};
}

/** Creates the event for a read that returns the whole snapshot stream. */
export function createSnapshotPage(at: number, records: readonly LoggedRecord[] = []): Event {
	return {
		type: 'snapshot/read', at: at as Instant, records, firstOffset: 0 as Offset, nextOffset: records.length as Offset,
	};
}

export function createTick(at: number): Event {
	return {type: 'clock/ticked', at: at as Instant};
}

/** Lists the effects of one type. */
export function listEffects<Type extends EffectType>(effects: readonly Effect[], type: Type): Array<EffectOf<Type>> {
	return effects.filter((effect): effect is EffectOf<Type> => effect.type === type);
}

/** Brings a host to the end of its initial synchronization, from a log that starts at the first record. */
export function startTestHost(state: State, records: readonly LoggedRecord[], at: number): void {
	listStartEffects(state);
	reduce(state, createSnapshotPage(at));
	reduce(state, createPage(at, records, 0, records.length));
	reduce(state, createTick(at));
}
