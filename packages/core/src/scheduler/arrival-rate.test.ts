/** The arrival rate of work: what counts as a change, and what does not. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	addArrivals, createArrivalRate, createSample, createSampleOfJob, sumSamples,
} from './arrival-rate.js';

const sampleMs = 150;

function addJobs(rate: ReturnType<typeof createArrivalRate>, works: readonly number[]): void {
	const jobs = works.map(cpu => createSampleOfJob({cpu, memoryMb: 0, gpu: 0}));
	addArrivals(rate, {...sumSamples([createSample(), ...jobs]), lastedMs: sampleMs});
}

describe('the arrival rate', () => {
	/** Guards against a demand of several times the machines in use after one job whose declared run time is far too long. */
	it('rises by no more than its share of the mean with one very large job, and at once with many', () => {
		const rate = createArrivalRate();
		for (let update = 0; update < 40; update++) {
			addJobs(rate, Array.from({length: 15}, () => 10));
		}

		addJobs(rate, [...Array.from({length: 15}, () => 10), 500]);
		expect(rate.mean.cpu).toBeLessThanOrEqual(1.2);
		for (let update = 0; update < 3; update++) {
			addJobs(rate, Array.from({length: 75}, () => 10));
		}

		expect(rate.mean.cpu).toBeGreaterThanOrEqual(4.9);
	});
});
