/** Measures ways of making a call in turn, so that all meet the same load of the machine. */
import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';
import {sleep} from '@rhubarblever/stand-ins';

const microsecondsPerMs = 1000;
const nanosecondsPerMicrosecond = 1000n;

/** `send` makes the call of a round; true if it was answered. */
export type Way = {readonly name: string; readonly send: (round: number) => Promise<boolean>};

/** Microseconds of each call of a way. */
export type MeasuredWay = {readonly name: string; readonly histogram: Histogram; unanswered: number};

export type MeasureOptions = {
	/** Calls of each way that count. */
	readonly count: number;
	/** Calls of each way before them. */
	readonly warmUpCount: number;
	/** Pause after each call, in milliseconds. */
	readonly pauseMs: number;
};

/** One call at a time. */
export async function measureWays(ways: readonly Way[], {count, warmUpCount, pauseMs}: MeasureOptions): Promise<MeasuredWay[]> {
	const measured = ways.map(({name}) => ({name, histogram: build({numberOfSignificantValueDigits: 3}), unanswered: 0}));
	for (let round = -warmUpCount; round < count; round++) {
		for (const [index, way] of ways.entries()) {
			const startedAt = process.hrtime.bigint();
			// eslint-disable-next-line no-await-in-loop
			const isAnswered = await way.send(Math.abs(round));
			const microseconds = Number((process.hrtime.bigint() - startedAt) / nanosecondsPerMicrosecond);
			const one = measured[index]!;
			if (round >= 0) {
				one.histogram.recordValue(microseconds);
				one.unanswered += isAnswered ? 0 : 1;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(pauseMs);
		}
	}

	return measured;
}

/** A percentile in milliseconds. */
export function getMs(histogram: Histogram, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
}
