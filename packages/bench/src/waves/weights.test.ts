/** The weights of a wave take effect: each firm's own weights give it a better result than the other firm's weights. */
import {describe, it} from 'node:test';
import type {WaveWeights} from '@rhubarblever/core';
import {expect} from 'earl';
import {countJobs, firmShapes, type FirmShape} from './shapes.js';
import {WaveTrial, type TrialResult} from './trial.js';

/** Runs a wave over a full pool without resumable jobs, in which a host only becomes free of tasks if new jobs wait. */
function runTrial(firm: FirmShape, weights: WaveWeights): TrialResult {
	return WaveTrial.create({
		firm: {...firm, weights}, policy: 'fill-budget', seed: 1, hasFailure: false, load: {jobCount: countJobs(firm, true), resumableShare: 0},
	}).run();
}

describe('the weights of a wave over a full pool', () => {
	const [saarepuu, meteografiki] = firmShapes as readonly [FirmShape, FirmShape];

	it('reserve less capacity for Saarepuu with its own weights than with those of Meteografiki', () => {
		const own = runTrial(saarepuu, saarepuu.weights);
		const other = runTrial(saarepuu, meteografiki.weights);
		expect(own.isDone && own.bufferMs < other.bufferMs).toEqual(true);
	});

	it('finish the wave of Meteografiki sooner with its own weights than with those of Saarepuu', () => {
		const own = runTrial(meteografiki, meteografiki.weights);
		const other = runTrial(meteografiki, saarepuu.weights);
		expect(own.isDone && own.rollOutMs < other.rollOutMs).toEqual(true);
	});
});
