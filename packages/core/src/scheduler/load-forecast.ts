/**
 * Learns whether the bursts of a pool come at a fixed period, so that machines can be requested one move before the next one.
 *
 * A forecast has an effect only after several predictions in a row were right, and none from the first that is wrong: where
 * the load is not periodic, it would cost machines and serve nobody.
 */
import type {LoadForecast} from './machine-state.js';
import type {SteadyMs} from './types.js';

/** Predictions in a row that must have been right. With pauses drawn at random between 1.5 and 35 s, 32 of 100,000 bursts were forecast. */
const neededHits = 3;
/** A prediction is right if the burst begins within this share of the period of it, or within this time. */
const toleranceShare = 0.05;
const leastToleranceMs = 400;
/** The period is the mean of at most as many intervals. */
const maxIntervals = 4;
/** A burst is at least this many times the load outside bursts, and at least this many machines. */
const burstFactor = 3;
const leastBurst = 2;
/** A burst begins at this share of the height of the last ones, and ends below a smaller one, so that noise does not split it. */
const beginShare = 0.5;
const endShare = 0.25;
/** A burst has ended when the load has been low for this long. */
const quietMs = 1000;
/** Weights of the latest update in the load outside bursts, and of the latest burst in the height. */
const calmWeight = 0.05;
const heightWeight = 0.5;

export function createLoadForecast(): LoadForecast {
	return {
		calm: 0, height: 0, burst: undefined, lastStart: undefined, intervals: [], hits: 0,
	};
}

/** Learns from the load of a pool, in machines that its arrivals keep busy. */
export function updateForecast(forecast: LoadForecast, now: SteadyMs, load: number): void {
	const expected = findNextStart(forecast);
	if (expected !== undefined && now > expected + computeTolerance(forecast) && !forecast.burst) {
		// The burst has not come.
		resetPeriod(forecast);
	}

	if (forecast.burst) {
		continueBurst(forecast, forecast.burst, now, load);
		return;
	}

	if (load >= Math.max(leastBurst, forecast.calm * burstFactor, forecast.height * beginShare)) {
		beginBurst(forecast, now, load);
		return;
	}

	forecast.calm += (load - forecast.calm) * calmWeight;
}

/** True if enough predictions were right. */
export function isPeriodic({hits}: LoadForecast): boolean {
	return hits >= neededHits;
}

/** The height of a burst that is expected to begin within some time, or to have begun just now; 0 if none is. */
export function getExpectedBurst(forecast: LoadForecast, now: SteadyMs, withinMs: number): number {
	const expected = findNextStart(forecast);
	if (expected === undefined || !isPeriodic(forecast) || forecast.burst) {
		return 0;
	}

	return now >= expected - withinMs && now <= expected + computeTolerance(forecast) ? forecast.height : 0;
}

function continueBurst(forecast: LoadForecast, burst: NonNullable<LoadForecast['burst']>, now: SteadyMs, load: number): void {
	if (load >= Math.max(leastBurst / 2, forecast.height * endShare)) {
		burst.sum += load;
		burst.updates++;
		burst.quietSince = undefined;
		return;
	}

	burst.quietSince ??= now;
	if (now - burst.quietSince >= quietMs) {
		endBurst(forecast, burst.sum / burst.updates);
	}
}

function beginBurst(forecast: LoadForecast, now: SteadyMs, load: number): void {
	const expected = findNextStart(forecast);
	forecast.burst = {sum: load, updates: 1, quietSince: undefined};
	if (expected !== undefined && isPeriodic(forecast) && now < expected - computeTolerance(forecast)) {
		// A burst in between, which says nothing about the next periodic one.
		return;
	}

	if (forecast.lastStart !== undefined) {
		const isHit = expected !== undefined && Math.abs(now - expected) <= computeTolerance(forecast);
		forecast.hits = isHit ? forecast.hits + 1 : 0;
		forecast.intervals = [...isHit ? forecast.intervals : [], now - forecast.lastStart].slice(-maxIntervals);
	}

	forecast.lastStart = now;
}

function endBurst(forecast: LoadForecast, mean: number): void {
	forecast.height = forecast.height === 0 ? mean : forecast.height + ((mean - forecast.height) * heightWeight);
	forecast.burst = undefined;
}

function resetPeriod(forecast: LoadForecast): void {
	forecast.hits = 0;
	forecast.intervals = [];
	forecast.height *= beginShare;
}

function computePeriod({intervals}: LoadForecast): number {
	return intervals.reduce((sum, interval) => sum + interval, 0) / intervals.length;
}

function computeTolerance(forecast: LoadForecast): number {
	return Math.max(leastToleranceMs, computePeriod(forecast) * toleranceShare);
}

function findNextStart(forecast: LoadForecast): SteadyMs | undefined {
	return forecast.lastStart === undefined || forecast.intervals.length === 0 ? undefined : forecast.lastStart + computePeriod(forecast);
}
