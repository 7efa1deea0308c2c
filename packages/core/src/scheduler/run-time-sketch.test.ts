/** Quantiles of a sketch: the same as the histogram library's, at the cost of one pass over the buckets. */
import {describe, it, mock} from 'node:test';
import {expect} from 'earl';
import int32Module from 'hdr-histogram-js/dist/Int32Histogram.js';
import {
	addCensoredValue, addValue, computeQuantiles, createSketch, dropOlderValues, type Sketch,
} from './run-time-sketch.js';
import {RunTimeDraws} from './testing/run-time-draws.js';

class Library extends int32Module.default {}

const day = 86_400_000;
const percentiles = [50, 90, 95, 99] as const;
const seeds = Array.from({length: 200}, (_, index) => index + 1);

/** A sketch of `runs` values in two generations, and the same values in one histogram of the library. */
function createBoth(seed: number, runs: number) {
	const draws = RunTimeDraws.create(seed);
	const sketch = createSketch();
	const histogram = new Library(1, day, 1);
	for (let run = 0; run < runs; run++) {
		const value = Math.round(draws.drawRunMs(400, 0.3, 3));
		addValue(sketch, value);
		histogram.recordValueWithCount(value, 1000);
		if (run === runs >> 1) { // eslint-disable-line no-bitwise
			dropOlderValues(sketch);
		}
	}

	return {sketch, histogram};
}

/** High percentiles are read up to two runs lower. */
function lowerPercentile(percentile: number, runs: number): number {
	return Math.max(50, percentile - (100 * 2 * Math.min(1, (percentile - 50) / 45) / runs));
}

function countReads(sketch: Sketch): number {
	const read = mock.method(int32Module.default.prototype, 'getCountAtIndex');
	computeQuantiles(sketch);
	const reads = read.mock.callCount();
	read.mock.restore();
	return reads;
}

describe('quantiles of a sketch', () => {
	/** Guards against percentiles that are off by a rank, where the number of runs is small or a percentile falls between two runs. */
	it('are those of the library: 200 seeds, 1 to 200 runs', () => {
		for (const seed of seeds) {
			const {sketch, histogram} = createBoth(seed, seed);
			const {p50, p90, p95, p99} = computeQuantiles(sketch);
			expect([p50, p90, p95, p99]).toEqual(percentiles.map(percentile => histogram.medianEquivalentValue(histogram.getValueAtPercentile(lowerPercentile(percentile, seed)))));
		}
	});

	/** Guards against a leader that spends a tenth of its time on quantiles: each percentile read all buckets again. Load: 500 ended runs, 40 in progress. */
	it('read each bucket once in each generation', () => {
		const {sketch, histogram} = createBoth(1, 500);
		const longest = histogram.countsArrayIndex(histogram.maxValue);
		expect(countReads(sketch)).toBeLessThanOrEqual(2 * (longest + 1));
		for (let run = 0; run < 40; run++) {
			addCensoredValue(sketch, 10 * (run + 1));
		}

		expect(countReads(sketch)).toBeLessThanOrEqual(2 * (longest + 1));
	});
});
