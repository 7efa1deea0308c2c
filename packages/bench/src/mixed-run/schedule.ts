/** The schedule of faults, drawn from the seed before the run begins. */
import {SeededRandom} from './draws.js';

/** A kind of fault as the schedule needs it. */
export type FaultRow = {
	/** What it strikes, one of these at a time: names of hosts, zones or settings. */
	readonly victims: ReadonlyArray<readonly string[]>;
	/** Others may strike the same names at the same time. */
	readonly isShared?: boolean;
	readonly shortestMs: number;
	readonly longestMs: number;
	/** It holds its names for so long beyond its end, until they are as before. */
	readonly recoveryMs?: number;
	readonly mostPerRun?: number;
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

/** When a fault is drawn, and from when on each name is free. */
type Moment = {readonly draws: SeededRandom; readonly at: number; readonly freeAt: Map<string, number>};

const largestSeed = 1_000_000;

/** Draws a schedule: the kinds come in shuffled rounds, so that each has its turn. The same shape and rows give the same schedule. */
export function drawSchedule({seed, durationMs, meanGapMs}: ScheduleShape, rows: Readonly<Record<string, FaultRow>>): PlannedFault[] {
	const draws = SeededRandom.create(seed);
	const freeAt = new Map<string, number>();
	const counts = new Map<string, number>();
	const planned: PlannedFault[] = [];
	let round: string[] = [];
	for (let at = 0; at < durationMs; at += Math.ceil(draws.drawFraction() * 2 * meanGapMs)) {
		round = round.length > 0 ? round : draws.drawOrder(Object.keys(rows));
		const kind = round.pop() ?? '';
		const fault = drawFault({draws, at, freeAt}, kind, rows[kind]!);
		const count = counts.get(kind) ?? 0;
		if (fault && count < (rows[kind]!.mostPerRun ?? Number.POSITIVE_INFINITY)) {
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

function drawFault({draws, at, freeAt}: Moment, kind: string, row: FaultRow): PlannedFault | undefined {
	const listHolds = (names: readonly string[]) => row.isShared ? [`${kind} ${names.join(' ')}`] : names;
	const free = row.victims.filter(names => listHolds(names).every(name => (freeAt.get(name) ?? 0) <= at));
	const durationMs = draws.drawInteger(row.shortestMs, row.longestMs);
	const seed = draws.drawInteger(1, largestSeed);
	if (free.length === 0) {
		return undefined;
	}

	const names = draws.select(free);
	for (const name of listHolds(names)) {
		freeAt.set(name, at + durationMs + (row.recoveryMs ?? 0));
	}

	return {
		kind, names, at, durationMs, seed,
	};
}
