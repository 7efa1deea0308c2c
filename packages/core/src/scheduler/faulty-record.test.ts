/** A record that cannot be applied does not take others with it. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../types/time.js';
import {reduceScheduler} from './reduce.js';
import {createSchedulerState} from './state.js';
import {createJob, createStep} from './testing/model-fleet.js';
import {modelSettings} from './testing/model-settings.js';
import type {IntakeRecord} from './types.js';

describe('a record of the jobs that cannot be applied', () => {
	/** Guards against: the records behind it are skipped, though the place in the stream moves on: their jobs are denied for good (class of incident LOST). */
	it('is told of, and the records behind it are applied', () => {
		const state = createSchedulerState(modelSettings);
		const job = createJob(1, [createStep()]);
		const faulty = {type: 'job'} as unknown as IntakeRecord;
		const effects = reduceScheduler(state, {
			type: 'intake/read', records: [faulty, {type: 'job', job}], completeAt: 5, at: 10, wallAt: 0 as Instant,
		});
		expect(state.jobs.has(job.jobId)).toEqual(true);
		expect(effects.some(effect => effect.type === 'log' && effect.event === 'record-not-applied')).toEqual(true);
	});
});
