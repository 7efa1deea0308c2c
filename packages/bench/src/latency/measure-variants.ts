/** Measures variants of a call in turn, so that all are measured under the same load of the machine. */
import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';
import {sleep} from '@rhubarblever/stand-ins';

const microsecondsPerMs = 1000;
const nanosecondsPerMicrosecond = 1000n;

/** `send` makes the call of one round; resolves to true if it was answered. */
export type CallVariant = {readonly name: string; readonly send: (round: number) => Promise<boolean>};

/** The latencies of the calls of one variant, in microseconds. */
export type MeasuredVariant = {readonly name: string; readonly histogram: Histogram; unanswered: number};

export type MeasureOptions = {
	/** Measured calls of each variant. */
	readonly count: number;
	/** Unmeasured calls of each variant before that. */
	readonly warmUpCount: number;
	/** Pause after each call, in milliseconds. */
	readonly pauseMs: number;
};

/** Measures all variants, one call at a time. */
export async function measureVariants(variants: readonly CallVariant[], {count, warmUpCount, pauseMs}: MeasureOptions): Promise<MeasuredVariant[]> {
	const measured = variants.map(({name}) => ({name, histogram: build({numberOfSignificantValueDigits: 3}), unanswered: 0}));
	for (let round = -warmUpCount; round < count; round++) {
		for (const [index, variant] of variants.entries()) {
			const startedAt = process.hrtime.bigint();
			// eslint-disable-next-line no-await-in-loop
			const isAnswered = await variant.send(Math.abs(round));
			const microseconds = Number((process.hrtime.bigint() - startedAt) / nanosecondsPerMicrosecond);
			const current = measured[index]!;
			if (round >= 0) {
				current.histogram.recordValue(microseconds);
				current.unanswered += isAnswered ? 0 : 1;
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
