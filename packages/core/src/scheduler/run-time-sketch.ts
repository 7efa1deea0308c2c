/**
 * Distribution of a positive quantity in histogram buckets at most 6% wide, as two generations: the older one is dropped
 * as a whole, so that old values are forgotten, and both merge without loss.
 */
// Only this module: the package's main module also loads its WASM variant, which takes 16 MB and 50 ms.
import int32Module from 'hdr-histogram-js/dist/Int32Histogram.js';

const lowestValue = 1;
/** A day in milliseconds. */
const highestValue = 86_400_000;
const significantDigits = 1;
/** Parts into which a value is split when it counts in several buckets. */
const maxPartsPerValue = 1000;
/** Keeps the sum of all parts within the range of a bucket's counter. */
const maxParts = 1_000_000_000;
/**
 * A high percentile is read this many ranks lower. Where 3% of runs take 7 times as long, one of five samples of 50 runs
 * has three such runs or more, which would raise its 95th percentile 4 times.
 */
const rankMargin = 2;
const medianPercentile = 50;
/** The margin grows from none at the median to all of `rankMargin` at this percentile. */
const fullMarginPercentile = 95;

/** Most values that a list of buckets stands for; with more, a wide distribution takes over 500 bytes in the ledger. */
const maxListed = 400;

/** Mean and percentiles. */
export type Quantiles = {readonly mean: number; readonly p50: number; readonly p90: number; readonly p95: number; readonly p99: number};

export type Sketch = {
	newer: Buckets;
	older: Buckets;
	/** Values of which only a lower bound is known: how many have their bound in each bucket. */
	readonly censored: Map<number, number>;
};

class Buckets extends int32Module.default {
	static create(): Buckets {
		return new Buckets(lowestValue, highestValue, significantDigits);
	}
}

export function createSketch(): Sketch {
	return {newer: Buckets.create(), older: Buckets.create(), censored: new Map()};
}

/** Limits a value to the range of the buckets. */
function convertToRange(value: number): number {
	return Math.min(highestValue, Math.max(lowestValue, Math.round(value)));
}

export function addValue({newer}: Sketch, value: number): void {
	newer.recordValue(convertToRange(value));
}

/** Adds a value of which only a lower bound is known. */
export function addCensoredValue({newer, censored}: Sketch, value: number): void {
	const index = newer.countsArrayIndex(convertToRange(value));
	censored.set(index, (censored.get(index) ?? 0) + 1);
}

/** Drops the older generation; the newer one takes its place. */
export function dropOlderValues(sketch: Sketch): void {
	const {older} = sketch;
	older.reset();
	sketch.older = sketch.newer;
	sketch.newer = older;
}

export function countValues({newer, older}: Sketch): number {
	return newer.totalCount + older.totalCount;
}

function countInBucket({newer, older}: Sketch, index: number): number {
	return newer.getCountAtIndex(index) + older.getCountAtIndex(index);
}

function getLastIndex({newer, older}: Sketch): number {
	return newer.countsArrayIndex(convertToRange(Math.max(newer.maxValue, older.maxValue)));
}

/**
 * The values of both generations: for each bucket that is not empty, how far it is from the one before, and its number of
 * values. Beyond `maxListed` values, each stands for several: the sum up to each bucket is rounded, so that no tail is lost.
 */
export function listBuckets(sketch: Sketch): number[] {
	const buckets: number[] = [];
	const last = getLastIndex(sketch);
	const scale = Math.min(1, maxListed / Math.max(1, countValues(sketch)));
	let former = 0;
	let sum = 0;
	let listed = 0;
	for (let index = 0; index <= last; index++) {
		sum += countInBucket(sketch, index);
		const count = Math.round(sum * scale) - listed;
		if (count > 0) {
			buckets.push(index - former, count);
			former = index;
			listed += count;
		}
	}

	return buckets;
}

/** Adds as many values as `values` says to the older generation, spread as `listBuckets` has listed them; throws an error if they do not fit. */
export function addOlderValues({older}: Sketch, buckets: readonly number[], values: number): void {
	const counts = buckets.filter((_, position) => position % 2 === 1);
	const scale = values / Math.max(1, sumCounts(counts));
	let index = 0;
	let sum = 0;
	let added = 0;
	for (const [position, count] of counts.entries()) {
		index += buckets[2 * position]!;
		if (index >= older.countsArrayLength) {
			throw new RangeError('no such bucket');
		}

		sum += count;
		older.recordValueWithCount(convertToRange(older.valueFromIndex(index)), Math.round(sum * scale) - added);
		added = Math.round(sum * scale);
	}
}

const reference = Buckets.create();
const midValues = Array.from({length: reference.countsArrayLength}, (_, index) => reference.medianEquivalentValue(reference.valueFromIndex(index)));

/** The buckets that are not empty, in ascending order, and how many parts they and all before them hold. */
type Ranks = {readonly indexes: number[]; readonly sums: number[]; parts: number};

/** The mean and the percentiles of all values, including the censored ones. */
export function computeQuantiles(sketch: Sketch): Quantiles {
	const total = countValues(sketch) + sumCounts(sketch.censored.values());
	const partsPerValue = Math.min(maxPartsPerValue, Math.floor(maxParts / Math.max(1, total)));
	const ranks: Ranks = {indexes: [], sums: [], parts: 0};
	let sum = 0;
	mergeValues(sketch, total, (index, count) => {
		const parts = Math.round(count * partsPerValue);
		ranks.parts += parts;
		ranks.indexes.push(index);
		ranks.sums.push(ranks.parts);
		sum += midValues[index]! * parts;
	});
	// The library reads all buckets again for each percentile and for the mean, which takes most of the time.
	const readAt = (percentile: number) => readPercentile(ranks, percentile, total);
	return {
		mean: sum / Math.max(1, ranks.parts), p50: readAt(50), p90: readAt(90), p95: readAt(95), p99: readAt(99),
	};
}

function sumCounts(counts: Iterable<number>): number {
	let sum = 0;
	for (const count of counts) {
		sum += count;
	}

	return sum;
}

function readPercentile({indexes, sums, parts}: Ranks, percentile: number, total: number): number {
	const margin = rankMargin * Math.min(1, (percentile - medianPercentile) / (fullMarginPercentile - medianPercentile));
	const lowered = Math.max(medianPercentile, percentile - (100 * margin / Math.max(1, total)));
	// Rounded up, but not because of a rounding error just above a whole number.
	const rank = Math.ceil(lowered / 100 * parts * (1 - Number.EPSILON));
	const position = sums.findIndex(sum => sum >= Math.max(1, rank));
	return midValues[indexes[position] ?? 0]!;
}

/**
 * Kaplan-Meier estimate: a censored value is spread over the higher buckets in proportion to their values; where none is
 * higher, it counts in its own bucket. Passes how many values fall into each bucket.
 */
function mergeValues(sketch: Sketch, total: number, add: (index: number, count: number) => void): void {
	const {censored} = sketch;
	const last = Math.max(getLastIndex(sketch), ...censored.keys());
	const lastUncensored = getLastIndex(sketch);
	let atRisk = total;
	let left = total;
	for (let index = 0; index <= last; index++) {
		const uncensored = countInBucket(sketch, index);
		if (uncensored > 0) {
			const merged = left * uncensored / atRisk;
			add(index, merged);
			left -= merged;
			atRisk -= uncensored;
		}

		const censoredHere = censored.get(index) ?? 0;
		if (censoredHere > 0 && index >= lastUncensored) {
			add(index, left * censoredHere / atRisk);
			left -= left * censoredHere / atRisk;
		}

		atRisk -= censoredHere;
	}
}
