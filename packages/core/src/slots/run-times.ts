/** Observed run times per service and work class; nothing declared is used. */
import type {ServiceId} from '../types/ids.js';
import type {WorkClass} from '../types/requests.js';
import type {SlotsState} from './state.js';

const keptSamples = 128;
const recomputeEvery = 16;
const p95 = 0.95;

/** The latest run times, in milliseconds, and figures recomputed every few samples. */
export type RunTimes = {
	readonly samples: number[];
	sampleCount: number;
	meanMs: number;
	p95Ms: number;
};

/** Notes how long one attempt ran, in milliseconds. */
export function recordRunTime(slots: SlotsState, service: ServiceId, workClass: WorkClass, runMs: number): void {
	const key = getRunTimesKey(service, workClass);
	const times = slots.runTimes.get(key) ?? createRunTimes();
	slots.runTimes.set(key, times);
	times.samples[times.sampleCount % keptSamples] = runMs;
	times.sampleCount += 1;
	if (times.sampleCount <= recomputeEvery || times.sampleCount % recomputeEvery === 0) {
		updateFigures(times);
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

function getRunTimesKey(service: ServiceId, workClass: WorkClass): string {
	return `${service} ${workClass}`;
}

function createRunTimes(): RunTimes {
	return {
		samples: [], sampleCount: 0, meanMs: 0, p95Ms: 0,
	};
}

function updateFigures(times: RunTimes): void {
	const sorted = times.samples.toSorted((a, b) => a - b);
	let sum = 0;
	for (const sample of sorted) {
		sum += sample;
	}

	times.meanMs = sum / sorted.length;
	times.p95Ms = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * p95))] ?? 0;
}
