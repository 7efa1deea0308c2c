/** Summarizes the outcomes of a load: counts, goodput and latencies. */
import {workClasses, type WorkClass} from '@rhubarblever/core';
import {build} from 'hdr-histogram-js';
import type {LoadPhase} from './arrivals.js';
import type {LoadOutcome, LoadResult} from './load-run.js';

/** Latencies in milliseconds. */
export type LatencySummary = {
	readonly count: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly maximumMs: number;
};

export type ClassSummary = {
	readonly workClass: WorkClass;
	readonly sent: number;
	readonly results: Readonly<Record<LoadResult, number>>;
	/** Latencies of good answers. */
	readonly latency: LatencySummary;
	/** Latencies of good answers minus their run times: the added overhead. */
	readonly added: LatencySummary;
	/** Latencies of good answers by phase. */
	readonly phases: Readonly<Record<LoadPhase, LatencySummary>>;
};

export type LoadSummary = {
	readonly sent: number;
	readonly results: Readonly<Record<LoadResult, number>>;
	/** Share of all requests with the result `good`. */
	readonly goodShare: number;
	readonly reasons: Readonly<Record<string, number>>;
	readonly classes: readonly ClassSummary[];
};

const microsecondsPerMillisecond = 1000;

/** Summarizes the outcomes of a load. */
export function describeLoadRun(outcomes: readonly LoadOutcome[]): LoadSummary {
	const results = countResults(outcomes);
	const reasons: Record<string, number> = {};
	for (const {result, reason} of outcomes) {
		if (result !== 'good' && result !== 'late') {
			const key = `${result}: ${reason}`;
			reasons[key] = (reasons[key] ?? 0) + 1;
		}
	}

	return {
		sent: outcomes.length,
		results,
		goodShare: outcomes.length === 0 ? 0 : results.good / outcomes.length,
		reasons,
		classes: workClasses.map(workClass => describeClass(workClass, outcomes.filter(outcome => outcome.planned.workClass === workClass))),
	};
}

/** Computes percentiles of durations, given in milliseconds. */
export function describeLatencies(durationsMs: readonly number[]): LatencySummary {
	const histogram = build({numberOfSignificantValueDigits: 3});
	for (const duration of durationsMs) {
		histogram.recordValue(Math.max(0, Math.round(duration * microsecondsPerMillisecond)));
	}

	return {
		count: durationsMs.length,
		p50Ms: histogram.getValueAtPercentile(50) / microsecondsPerMillisecond,
		p99Ms: histogram.getValueAtPercentile(99) / microsecondsPerMillisecond,
		maximumMs: histogram.maxValue / microsecondsPerMillisecond,
	};
}

function describeClass(workClass: WorkClass, outcomes: readonly LoadOutcome[]): ClassSummary {
	const good = outcomes.filter(outcome => outcome.result === 'good');
	const summarizePhase = (phase: LoadPhase) =>
		describeLatencies(good.filter(outcome => outcome.planned.phase === phase).map(outcome => outcome.latencyMs));
	return {
		workClass,
		sent: outcomes.length,
		results: countResults(outcomes),
		latency: describeLatencies(good.map(outcome => outcome.latencyMs)),
		added: describeLatencies(good.map(outcome => outcome.latencyMs - outcome.planned.runMs)),
		phases: {
			calm: summarizePhase('calm'),
			'own-burst': summarizePhase('own-burst'),
			'other-burst': summarizePhase('other-burst'),
		},
	};
}

function countResults(outcomes: readonly LoadOutcome[]): Record<LoadResult, number> {
	const counts: Record<LoadResult, number> = {
		good: 0, late: 0, wrong: 0, refused: 0, unknown: 0, failed: 0, broken: 0,
	};
	for (const outcome of outcomes) {
		counts[outcome.result] += 1;
	}

	return counts;
}
