/** The schedule of faults, drawn from the seed before the run begins. */
import {SeededRandom} from './seeded-random.js';

/** The properties of a kind of fault that the schedule uses. */
export type SchedulableFault = {
	/** Sets of hosts, zones or settings, by name; each fault affects one of these sets. */
	readonly candidates: ReadonlyArray<readonly string[]>;
	/** Whether faults of other kinds may affect the same names at the same time. */
	readonly isShared?: boolean;
	readonly shortestMs: number;
	readonly longestMs: number;
	/** Recovery time after the end of the fault, in which its names stay reserved. */
	readonly recoveryMs?: number;
	readonly maxPerRun?: number;
};

export type PlannedFault = {
	readonly kind: string;
	readonly names: readonly string[];
	/** Milliseconds from the start of the faults. */
	readonly at: number;
	readonly durationMs: number;
	/** Seed of the fault's own random choices. */
	readonly seed: number;
};

export type ScheduleShape = {
	readonly seed: number;
	readonly durationMs: number;
	/** Mean time from one fault to the next. */
	readonly meanGapMs: number;
};

/** The time for which a fault is drawn, and the time from which each name is free. */
type DrawContext = {readonly random: SeededRandom; readonly at: number; readonly freeAt: Map<string, number>};

const largestSeed = 1_000_000;

/** Draws a schedule. The kinds follow each other in shuffled rounds, so that each kind occurs. The same shape and kinds give the same schedule. */
export function drawSchedule({seed, durationMs, meanGapMs}: ScheduleShape, kinds: Readonly<Record<string, SchedulableFault>>): PlannedFault[] {
	const random = SeededRandom.create(seed);
	const freeAt = new Map<string, number>();
	const counts = new Map<string, number>();
	const planned: PlannedFault[] = [];
	let round: string[] = [];
	for (let at = 0; at < durationMs; at += Math.ceil(random.drawFraction() * 2 * meanGapMs)) {
		round = round.length > 0 ? round : random.drawPermutation(Object.keys(kinds));
		const kind = round.pop() ?? '';
		const fault = drawFault({random, at, freeAt}, kind, kinds[kind]!);
		const count = counts.get(kind) ?? 0;
		if (fault && count < (kinds[kind]!.maxPerRun ?? Number.POSITIVE_INFINITY)) {
			counts.set(kind, count + 1);
			planned.push(fault);
		}
	}

	return planned;
}

/** One line of the printed schedule. */
export function describeFault({kind, names, at, durationMs}: PlannedFault): string {
	return `${(at / 1000).toFixed(1).padStart(6)} s  ${kind} ${names.join(' ')} for ${(durationMs / 1000).toFixed(1)} s`;
}

function drawFault({random, at, freeAt}: DrawContext, kind: string, properties: SchedulableFault): PlannedFault | undefined {
	const listReservedNames = (names: readonly string[]) => properties.isShared ? [`${kind} ${names.join(' ')}`] : names;
	const free = properties.candidates.filter(names => listReservedNames(names).every(name => (freeAt.get(name) ?? 0) <= at));
	const durationMs = random.drawInteger(properties.shortestMs, properties.longestMs);
	const seed = random.drawInteger(1, largestSeed);
	if (free.length === 0) {
		return undefined;
	}

	const names = random.select(free);
	for (const name of listReservedNames(names)) {
		freeAt.set(name, at + durationMs + (properties.recoveryMs ?? 0));
	}

	return {
		kind, names, at, durationMs, seed,
	};
}
