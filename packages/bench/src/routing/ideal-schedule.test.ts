/** Tests of the ideal schedule on small cases. */
import {describe, it} from 'node:test';
import type {PlannedRequest} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {scheduleIdeally} from './ideal-schedule.js';

function createRequest(requestId: string, arrivalAt: number, runMs: number, deadlineAt: number): PlannedRequest {
	return {
		requestId, arrivalAt, runMs, deadlineAt, service: 'routes', team: 'team', workClass: 'quick', isIdempotent: true, phase: 'calm', draw: 0,
	};
}

describe('scheduleIdeally', () => {
	it('answers all requests that fit into the slots', () => {
		const answered = scheduleIdeally([createRequest('a', 0, 10, 10), createRequest('b', 0, 10, 10)], 2);
		expect(answered.size).toEqual(2);
	});

	it('starts the earliest deadline first and drops requests whose deadline can no longer be met', () => {
		const answered = scheduleIdeally([
			createRequest('running', 0, 10, 10), createRequest('patient', 1, 10, 100), createRequest('urgent', 2, 10, 20), createRequest('hopeless', 3, 10, 15),
		], 1);
		expect([...answered].toSorted()).toEqual(['patient', 'running', 'urgent']);
	});

	it('starts a request at its arrival where a slot has long been free', () => {
		expect(scheduleIdeally([createRequest('a', 0, 5, 5), createRequest('b', 50, 10, 60)], 1).size).toEqual(2);
	});
});
