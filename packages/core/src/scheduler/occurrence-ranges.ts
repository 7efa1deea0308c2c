/** Sets of occurrence numbers as ranges: occurrences end nearly in their order, so a long schedule has few ranges. */
import type {OccurrenceRange} from './types.js';

/** The ranges are sorted, and no two of them touch. */
export type OccurrenceSet = {readonly ranges: OccurrenceRange[]; size: number};

export function createOccurrenceSet(ranges: readonly OccurrenceRange[] = []): OccurrenceSet {
	const size = ranges.reduce((sum, [first, last]) => sum + last - first + 1, 0);
	return {ranges: [...ranges], size};
}

/** Index of the first range that ends at `number` or later. */
function findIndex({ranges}: OccurrenceSet, number: number): number {
	let from = 0;
	let to = ranges.length;
	while (from < to) {
		const middle = Math.floor((from + to) / 2);
		if (ranges[middle]![1] < number) {
			from = middle + 1;
		} else {
			to = middle;
		}
	}

	return from;
}

export function hasOccurrence(set: OccurrenceSet, number: number): boolean {
	const range = set.ranges[findIndex(set, number)];
	return range !== undefined && range[0] <= number;
}

/** The first number from `number` on that is not in the set. */
export function findMissing(set: OccurrenceSet, number: number): number {
	const range = set.ranges[findIndex(set, number)];
	return range !== undefined && range[0] <= number ? range[1] + 1 : number;
}

export function addOccurrence(set: OccurrenceSet, number: number): void {
	if (hasOccurrence(set, number)) {
		return;
	}

	const {ranges} = set;
	const index = findIndex(set, number);
	const before = ranges[index - 1];
	const after = ranges[index];
	const first = before?.[1] === number - 1 ? before[0] : number;
	const last = after?.[0] === number + 1 ? after[1] : number;
	const from = first < number ? index - 1 : index;
	const replaced = Number(first < number) + Number(last > number);
	ranges.splice(from, replaced, [first, last]);
	set.size++;
}

/** The numbers of some ranges, in their order. */
export function listOccurrences(ranges: readonly OccurrenceRange[]): number[] {
	return ranges.flatMap(([first, last]) => Array.from({length: last - first + 1}, (_, index) => first + index));
}

/** The ranges of some numbers, in any order. */
export function convertToRanges(numbers: readonly number[]): OccurrenceRange[] {
	const ranges: OccurrenceRange[] = [];
	for (const number of numbers.toSorted((a, b) => a - b)) {
		const latest = ranges.at(-1);
		if (latest && number <= latest[1] + 1) {
			ranges[ranges.length - 1] = [latest[0], number];
		} else {
			ranges.push([number, number]);
		}
	}

	return ranges;
}
