/**
 * Rate at which work arrives at a pool. While the load is steady, the rate is the mean since it last changed, so that random
 * peaks hardly move it. When the latest arrivals differ from it by more than chance allows, it follows them at once.
 *
 * The variance of the arrivals is estimated from the sum of their squares, as jobs arrive independently of each other: few
 * large jobs vary more than many small ones, whose changes are therefore noticed sooner.
 */
import {addResources, computeMultiple, noResources} from './resources.js';
import type {ArrivalRate, ArrivalSample} from './machine-state.js';
import type {Resources} from './types.js';

/** The rate averages over at most this time. */
const longestWindowMs = 8000;
/** How many of the latest samples are compared with the rate: the fewer, the sooner a large change is noticed; the more, the smaller the change that is. */
const comparedSamples = [2, 4, 8] as const;
const keptSamples = 8;
/** Standard deviations beyond which a change is not due to chance. The distribution of the work is skewed: rises by chance are more frequent than falls. */
const riseDeviations = 4;
const fallDeviations = 4;
/** Smaller differences, as a share of the rate, are not taken for a change. */
const leastChange = 0.02;
/** A job has about this time to spare before it misses its objective, so that shorter peaks even out. */
const sparedMs = 1000;
/** Largest share of the rate that is added for random peaks. A pool of few jobs would otherwise keep twice the machines that it uses. */
const maxPeakShare = 0.2;

const resourceNames = ['cpu', 'memoryMb', 'gpu'] as const;

export function createArrivalRate(): ArrivalRate {
	return {
		mean: noResources, squares: noResources, jobs: 0, ageMs: 0, samples: [],
	};
}

function findLargest(a: Resources, b: Resources): Resources {
	return {cpu: Math.max(a.cpu, b.cpu), memoryMb: Math.max(a.memoryMb, b.memoryMb), gpu: Math.max(a.gpu, b.gpu)};
}

function computeSquares({cpu, memoryMb, gpu}: Resources): Resources {
	return {cpu: cpu ** 2, memoryMb: memoryMb ** 2, gpu: gpu ** 2};
}

/** Returns a sample of no time, to which the work of single jobs is added. */
export function createSample(): ArrivalSample {
	return {
		jobs: 0, work: noResources, squares: noResources, largest: noResources, lastedMs: 0,
	};
}

/** The work of one job as a part of a sample. */
export function createSampleOfJob(work: Resources): ArrivalSample {
	return {
		jobs: 1, work, squares: computeSquares(work), largest: work, lastedMs: 0,
	};
}

/** Adds up samples that followed each other, or that are parts of one. */
export function sumSamples(samples: readonly ArrivalSample[]): ArrivalSample {
	let sum = createSample();
	for (const {
		jobs, work, squares, largest, lastedMs,
	} of samples) {
		sum = {
			jobs: sum.jobs + jobs, work: addResources(sum.work, work), squares: addResources(sum.squares, squares), largest: findLargest(sum.largest, largest), lastedMs: sum.lastedMs + lastedMs,
		};
	}

	return sum;
}

/** Updates the rate with the work that arrived since its last update. */
export function addArrivals(rate: ArrivalRate, sample: ArrivalSample): void {
	rate.samples = [...rate.samples, sample].slice(-keptSamples);
	for (const count of comparedSamples) {
		if (rate.samples.length < count) {
			break;
		}

		const recent = sumSamples(rate.samples.slice(-count));
		if (isChanged(rate, recent)) {
			restartMean(rate, recent);
			return;
		}
	}

	rate.ageMs = Math.min(longestWindowMs, rate.ageMs + sample.lastedMs);
	const weight = Math.min(1, sample.lastedMs / rate.ageMs);
	rate.mean = addResources(computeMultiple(rate.mean, 1 - weight), sample.work, weight / sample.lastedMs);
	rate.squares = addResources(computeMultiple(rate.squares, 1 - weight), sample.squares, weight / sample.lastedMs);
	rate.jobs += ((sample.jobs / sample.lastedMs) - rate.jobs) * weight;
}

function restartMean(rate: ArrivalRate, {
	jobs, work, squares, lastedMs,
}: ArrivalSample): void {
	const isRise = resourceNames.some(name => work[name] / lastedMs > rate.mean[name]);
	rate.mean = computeMultiple(work, 1 / lastedMs);
	rate.squares = computeMultiple(squares, 1 / lastedMs);
	rate.jobs = jobs / lastedMs;
	// A rise may have begun within these samples, so the next one replaces them.
	rate.ageMs = isRise ? 0 : lastedMs;
	rate.samples = [];
}

/** The resources that the arriving work keeps busy, with what random peaks need beyond the time that jobs can spare. */
export function computeRateWithPeaks({mean, squares}: ArrivalRate): Resources {
	const compute = (name: keyof Resources) => mean[name] + Math.min(Math.sqrt(squares[name] / sparedMs), mean[name] * maxPeakShare);
	return {cpu: compute('cpu'), memoryMb: compute('memoryMb'), gpu: compute('gpu')};
}

/**
 * True if some work arrived at another rate than the mean, by more than chance allows for the samples and for the mean itself. One
 * job alone is no rise, however large: while it waits, the demand counts it as waiting work.
 */
function isChanged({mean, squares, ageMs}: ArrivalRate, {work, largest, lastedMs}: ArrivalSample): boolean {
	return resourceNames.some(name => {
		const withoutLargest = ((work[name] - largest[name]) / lastedMs) - mean[name];
		const difference = withoutLargest > 0 ? withoutLargest : Math.min(0, (work[name] / lastedMs) - mean[name]);
		const variance = squares[name] * ((1 / lastedMs) + (ageMs > 0 ? 1 / ageMs : 0));
		return Math.abs(difference) > Math.max(Math.sqrt(variance) * (difference > 0 ? riseDeviations : fallDeviations), mean[name] * leastChange);
	});
}
