/** Encodes the whole fleet state, with its maps and sets, as JSON text for snapshots and peers. */
import {err, ok, type Result} from 'neverthrow';
import {createFault, type Fault} from '../types/faults.js';
import {createFleetState, type FleetState} from './state.js';

type EncodedCollection = {readonly $map?: ReadonlyArray<readonly [unknown, unknown]>; readonly $set?: readonly unknown[]};

/** Encodes a fleet state; of the recent digests, only the latest is included. */
export function encodeFleetState(fleet: FleetState): string {
	const latest = fleet.recentDigests.slice(-1);
	return JSON.stringify({...fleet, recentDigests: latest}, (_key, value: unknown) => encodeCollection(value));
}

/** Decodes a fleet state. Fields that are missing in the text, such as those added after it was written, get their initial value. */
export function decodeFleetState(text: string): Result<FleetState, Fault> {
	try {
		const decoded = JSON.parse(text, (_key, value: unknown) => createCollection(value)) as Partial<FleetState>;
		return ok({...createFleetState(), ...decoded});
	} catch (error) {
		return err(createFault('record-invalid', `the fleet state is malformed: ${(error as Error).message}`));
	}
}

function encodeCollection(value: unknown): unknown {
	if (value instanceof Map) {
		return {$map: [...(value as Map<unknown, unknown>)]};
	}

	return value instanceof Set ? {$set: [...(value as Set<unknown>)]} : value;
}

function createCollection(value: unknown): unknown {
	if (typeof value !== 'object' || value === null) {
		return value;
	}

	const {$map, $set} = value as EncodedCollection;
	if ($map) {
		return new Map($map);
	}

	return $set ? new Set($set) : value;
}
