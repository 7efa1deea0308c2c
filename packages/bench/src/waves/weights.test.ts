/** The weights of a wave decide: each firm's own serve it better than the other's. */
import {describe, it} from 'node:test';
import type {WaveWeights} from '@rhubarblever/core';
import {expect} from 'earl';
import {countJobs, firmShapes, type FirmShape} from './shapes.js';
import {WaveTrial, type TrialResult} from './trial.js';

/** A full pool without resumable jobs: no host becomes free of tasks unless work waits for it. */
function runTrial(firm: FirmShape, weights: WaveWeights): TrialResult {
	return WaveTrial.create({
		firm: {...firm, weights}, policy: 'fill-budget', seed: 1, hasFailure: false, load: {jobCount: countJobs(firm, true), resumableShare: 0},
	}).run();
}

describe('the weights of a wave over a full pool', () => {
	const [saarepuu, meteografiki] = firmShapes as readonly [FirmShape, FirmShape];

	it('hold less capacity back for Saarepuu by its own than by those of Meteografiki', () => {
		const own = runTrial(saarepuu, saarepuu.weights);
		const other = runTrial(saarepuu, meteografiki.weights);
		expect(own.isDone && own.bufferMs < other.bufferMs).toEqual(true);
	});

	it('end the wave of Meteografiki sooner by its own than by those of Saarepuu', () => {
		const own = runTrial(meteografiki, meteografiki.weights);
		const other = runTrial(meteografiki, saarepuu.weights);
		expect(own.isDone && own.rollOutMs < other.rollOutMs).toEqual(true);
	});
});
