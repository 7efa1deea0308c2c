/** Slots that were idle while requests of their service waited, from the plan and the targets' ledgers. */

import type {HostLedger, LoadOutcome} from '@rhubarblever/stand-ins';
import {services, slotsPerService} from './bench-shape.js';

/** The period in which a request waited to start; instants in milliseconds. */
export type Wait = {readonly from: number; readonly until: number};

/** One run on a target. */
export type Run = {readonly startedAt: number; readonly endedAt: number};

type Edge = {readonly at: number; readonly waiting: number; readonly running: number};

/** Shorter waits are the transfer to the target, not queueing. */
export const minWaitMs = 10;

/** Slot-milliseconds that were idle while requests waited: the integral over time of the smaller of idle slots and waiting requests. */
export function sumIdleSlotMs(slots: number, waits: readonly Wait[], runs: readonly Run[]): number {
	const edges: Edge[] = [
		...waits.filter(({from, until}) => until - from > minWaitMs).flatMap(({from, until}) => [
			{at: from + minWaitMs, waiting: 1, running: 0}, {at: until, waiting: -1, running: 0},
		]),
		...runs.flatMap(({startedAt, endedAt}) => [{at: startedAt, waiting: 0, running: 1}, {at: endedAt, waiting: 0, running: -1}]),
	];
	let waiting = 0;
	let running = 0;
	let idleSlotMs = 0;
	let last = 0;
	for (const edge of edges.toSorted((a, b) => a.at - b.at)) {
		idleSlotMs += Math.min(waiting, Math.max(0, slots - running)) * (edge.at - last);
		waiting += edge.waiting;
		running += edge.running;
		last = edge.at;
	}

	return idleSlotMs;
}

/** Slot-seconds that were idle in a run while requests of the same service waited. `startedAt`: when the load began. */
export function measureIdleSlots(outcomes: readonly LoadOutcome[], ledgers: readonly HostLedger[], startedAt: number): number {
	const entries = ledgers.flatMap(ledger => ledger.entries).filter(entry => entry.startedAt >= startedAt);
	const firstStarts = new Map<string, number>();
	for (const entry of entries) {
		firstStarts.set(entry.requestId, Math.min(entry.startedAt, firstStarts.get(entry.requestId) ?? Number.POSITIVE_INFINITY));
	}

	let idleSlotMs = 0;
	for (const service of services) {
		const own = outcomes.filter(({planned}) => planned.service === service);
		const ids = new Set(own.map(({planned}) => planned.requestId));
		const waits = own.map(({planned, latencyMs}): Wait => {
			const from = startedAt + planned.arrivalAt;
			return {from, until: firstStarts.get(planned.requestId) ?? from + latencyMs};
		});
		const runs = entries.filter(({requestId}) => ids.has(requestId)).map((entry): Run => ({startedAt: entry.startedAt, endedAt: entry.endedAt ?? entry.startedAt}));
		idleSlotMs += sumIdleSlotMs(slotsPerService, waits, runs);
	}

	return idleSlotMs / 1000;
}
