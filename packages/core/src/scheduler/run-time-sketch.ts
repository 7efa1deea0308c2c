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
/** Parts into which a run is split when it is spread over several buckets. */
const partsPerRun = 1000;
/** Runs are spread over buckets in whole parts, so that their total stays below the range of a bucket's counter. */
const maxSpreadParts = 1_000_000_000;
/**
 * A high percentile is read this many runs lower. Among 50 runs of which 3% take 7 times as long, three such runs or more
 * come in one of five samples, and would raise the 95th percentile 4 times.
 */
const rankMargin = 2;
const medianPercentile = 50;
const marginFullAt = 95;

/** Mean and percentiles. */
export type Quantiles = {readonly mean: number; readonly p50: number; readonly p90: number; readonly p95: number; readonly p99: number};

export type Sketch = {
	newer: Buckets;
	older: Buckets;
};

/** Number of values in one bucket; `value` lies in the middle of the bucket. */
export type BucketCount = {readonly value: number; readonly count: number};

class Buckets extends int32Module.default {
	static create(): Buckets {
		return new Buckets(lowestValue, highestValue, significantDigits);
	}
}

export function createSketch(): Sketch {
	return {newer: Buckets.create(), older: Buckets.create()};
}

/** Limits a value to the range of the buckets. */
function convertToRange(value: number): number {
	return Math.min(highestValue, Math.max(lowestValue, Math.round(value)));
}

export function addValue({newer}: Sketch, value: number, count = 1): void {
	newer.recordValueWithCount(convertToRange(value), count);
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

/** The values of both generations, in rising order. */
export function listBucketCounts({newer, older}: Sketch): BucketCount[] {
	const counts: BucketCount[] = [];
	const end = newer.countsArrayIndex(convertToRange(Math.max(newer.maxValue, older.maxValue)));
	for (let index = 0; index <= end; index++) {
		const count = newer.getCountAtIndex(index) + older.getCountAtIndex(index);
		if (count > 0) {
			counts.push({value: newer.medianEquivalentValue(newer.valueFromIndex(index)), count});
		}
	}

	return counts;
}

/** Used for one computation at a time. */
const scratch = Buckets.create();

/** The quantiles of all values. Each of `atLeast` stands for a value that is at least as high. */
export function computeQuantiles(sketch: Sketch, atLeast: readonly number[]): Quantiles {
	const counts = listBucketCounts(sketch);
	const total = countValues(sketch) + atLeast.length;
	const parts = Math.min(partsPerRun, Math.floor(maxSpreadParts / Math.max(1, total)));
	scratch.reset();
	for (const {value, count} of atLeast.length === 0 ? counts : mergeIncomplete(counts, atLeast.map(value => convertToRange(value)), total)) {
		const weight = Math.round(count * parts);
		if (weight > 0) {
			scratch.recordValueWithCount(convertToRange(value), weight);
		}
	}

	const readAt = (percentile: number) => readPercentile(percentile, total);
	return {
		mean: scratch.mean, p50: readAt(50), p90: readAt(90), p95: readAt(95), p99: readAt(99),
	};
}

function readPercentile(percentile: number, total: number): number {
	const margin = rankMargin * Math.min(1, (percentile - medianPercentile) / (marginFullAt - medianPercentile));
	const lowered = Math.max(Math.min(percentile, medianPercentile), percentile - (100 * margin / total));
	return scratch.medianEquivalentValue(scratch.getValueAtPercentile(lowered));
}

/**
 * Kaplan-Meier estimate: an incomplete value counts as one of the higher values, in proportion to how often those occur.
 * Where none is higher, it counts as it is.
 */
function mergeIncomplete(counts: readonly BucketCount[], atLeast: number[], total: number): BucketCount[] {
	const incomplete = atLeast.toSorted((a, b) => a - b);
	const spread: BucketCount[] = [];
	let atRisk = total;
	let left = total;
	let next = 0;
	for (const {value, count} of counts) {
		while (next < incomplete.length && incomplete[next]! < value) {
			atRisk--;
			next++;
		}

		const mass = left * count / atRisk;
		spread.push({value, count: mass});
		left -= mass;
		atRisk -= count;
	}

	for (const value of incomplete.slice(next)) {
		spread.push({value, count: left / atRisk});
	}

	return spread;
}
