/** Reads and writes the snapshot stream of the platform's log. */
import type {EffectOf, Offset} from '@rhubarblever/core';
import {readClock} from '../clock.js';
import type {EventSink} from '../types.js';
import type {PlatformClient} from './platform-client.js';

const snapshotStream = 'snapshots';
const readOptions = {limit: 20, waitMs: 0};

/** Appends the chunks of a snapshot one at a time to keep each call small; stops at the first failure. */
export async function writeSnapshot(platform: PlatformClient, push: EventSink, effect: EffectOf<'snapshot/write'>): Promise<void> {
	for (const record of effect.records) {
		// eslint-disable-next-line no-await-in-loop
		const result = await platform.appendRecords(snapshotStream, [record]);
		if (result.isErr()) {
			push({type: 'snapshot/write-failed', at: readClock(), fault: result.error});
			return;
		}
	}

	push({type: 'snapshot/written', at: readClock(), nextOffset: effect.nextOffset});
}

/** Reads snapshot chunks from offset `from` on. */
export async function readSnapshots(platform: PlatformClient, push: EventSink, from: Offset): Promise<void> {
	const result = await platform.readLog(snapshotStream, from, readOptions);
	push(result.match(
		page => ({type: 'snapshot/read' as const, at: readClock(), ...page}),
		fault => ({type: 'snapshot/read-failed' as const, at: readClock(), fault}),
	));
}
