/** An intake record that cannot be applied is skipped alone. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../types/time.js';
import {reduceScheduler} from './reduce.js';
import {createSchedulerState} from './state.js';
import {createJob, createStep} from './testing/model-fleet.js';
import {modelSettings} from './testing/model-settings.js';
import type {IntakeRecord} from './types.js';

describe('an intake record that cannot be applied', () => {
	/** Guards against: the records after it in the batch are skipped while the read offset advances, so that their jobs stay unknown for good (class of incident LOST). */
	it('is logged, and the records after it are applied', () => {
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
