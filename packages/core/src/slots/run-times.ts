/** Observed run times per service and work class; declared run times are not used. */
import type {ServiceId} from '../types/ids.js';
import type {WorkClass} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import type {SlotsState} from './state.js';

const maxSamples = 128;
const recomputeEvery = 16;
const p95 = 0.95;
/** Limits a long run to this multiple of the mean: a few stalled runs must not make all deadlines seem impossible to meet. */
const longRunMultiple = 1.5;
/** Run times are dropped when no run has been answered for this time; otherwise work that was slow once would be refused forever. */
const maxAgeMs = 60_000;

/** The latest run times, in milliseconds, and statistics that are recomputed every few samples. */
export type RunTimes = {
	readonly samples: number[];
	sampleCount: number;
	validUntil: Instant;
	meanMs: number;
	p95Ms: number;
};

/** Records how long one attempt ran, in milliseconds. */
export function recordRunTime({slots, now}: Pick<State, 'slots' | 'now'>, service: ServiceId, workClass: WorkClass, runMs: number): void {
	const key = getRunTimesKey(service, workClass);
	const times = slots.runTimes.get(key) ?? createRunTimes();
	slots.runTimes.set(key, times);
	times.samples[times.sampleCount % maxSamples] = runMs;
	times.sampleCount += 1;
	times.validUntil = addMilliseconds(now, maxAgeMs);
	if (times.sampleCount <= recomputeEvery || times.sampleCount % recomputeEvery === 0) {
		updateStatistics(times);
	}
}

/** Drops the run times of services and classes without a recent run. */
export function expireRunTimes(slots: SlotsState, now: Instant): void {
	for (const [key, times] of slots.runTimes) {
		if (times.validUntil <= now) {
			slots.runTimes.delete(key);
		}
	}
}

/** The run times of a service's class, or undefined before the first. */
export function findRunTimes(slots: SlotsState, service: ServiceId, workClass: WorkClass): RunTimes | undefined {
	return slots.runTimes.get(getRunTimesKey(service, workClass));
}

/** Mean run time in milliseconds; 0 before the first. */
export function estimateRunMs(slots: SlotsState, service: ServiceId, workClass: WorkClass): number {
	return findRunTimes(slots, service, workClass)?.meanMs ?? 0;
}

/** A run time that few requests exceed, in milliseconds; 0 before the first. */
export function estimateLongRunMs(slots: SlotsState, service: ServiceId, workClass: WorkClass): number {
	const times = findRunTimes(slots, service, workClass);
	return times ? Math.min(times.p95Ms, longRunMultiple * times.meanMs) : 0;
}

function getRunTimesKey(service: ServiceId, workClass: WorkClass): string {
	return `${service} ${workClass}`;
}

function createRunTimes(): RunTimes {
	return {
		samples: [], sampleCount: 0, validUntil: 0 as Instant, meanMs: 0, p95Ms: 0,
	};
}

function updateStatistics(times: RunTimes): void {
	const sorted = times.samples.toSorted((a, b) => a - b);
	let sum = 0;
	for (const sample of sorted) {
		sum += sample;
	}

	times.meanMs = sum / sorted.length;
	times.p95Ms = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * p95))] ?? 0;
}
