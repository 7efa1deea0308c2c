/** Attempt timeouts: a connection that stops responding must cost an idempotent request no more than one attempt. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createTestHost} from '../log/test-fleet.js';
import {recordRunTime} from '../slots/run-times.js';
import type {
	CallerKey, RequestId, ServiceId, TeamId,
} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {getGiveUpAt} from './attempt-timeouts.js';

const service = 'routes' as ServiceId;
const now = 1_000_000 as Instant;
const deadlineMs = 4000;

const request: CallerRequest = {
	callerKey: 'caller-1' as CallerKey,
	requestId: 'request-1' as RequestId,
	service,
	team: 'dispatch' as TeamId,
	workClass: 'quick',
	isIdempotent: true,
	arrivedAt: now,
	deadline: addMilliseconds(now, deadlineMs),
};

function createStateWithRunTimes(runTimesMs: readonly number[]): State {
	const state = createTestHost('entry-1');
	state.now = now;
	for (const runMs of runTimesMs) {
		recordRunTime(state, service, 'quick', runMs);
	}

	return state;
}

function countMsToGiveUp(state: State, attemptCount: number, change: Partial<CallerRequest> = {}): number {
	return getGiveUpAt(state, {...request, ...change}, attemptCount) - now;
}

describe('timeouts of attempts', () => {
	const stalled = [1400, 1500, ...Array.from({length: 56}, () => 200)];

	it('leave time for another attempt even if a few run times were long', () => {
		expect(countMsToGiveUp(createStateWithRunTimes(stalled), 1)).toBeLessThanOrEqual(deadlineMs / 2);
	});

	it('do not grow because of a few stalled runs', () => {
		const calm = countMsToGiveUp(createStateWithRunTimes(Array.from({length: 58}, () => 200)), 1);
		expect(countMsToGiveUp(createStateWithRunTimes(stalled), 1)).toEqual(calm);
	});

	it('are several times the usual run time', () => {
		expect(countMsToGiveUp(createStateWithRunTimes(Array.from({length: 58}, () => 200)), 1)).toBeGreaterThanOrEqual(400);
	});

	it('extend to the deadline if two attempts do not fit, for the last attempt, and for non-idempotent work', () => {
		const slow = createStateWithRunTimes(Array.from({length: 58}, () => 1600));
		const quick = createStateWithRunTimes([...stalled]);
		expect([countMsToGiveUp(slow, 1), countMsToGiveUp(quick, 3), countMsToGiveUp(quick, 1, {isIdempotent: false})])
			.toEqual([deadlineMs, deadlineMs, deadlineMs]);
	});

	it('are half of the remaining time for quick work without observed run times', () => {
		expect(countMsToGiveUp(createStateWithRunTimes([]), 1)).toEqual(deadlineMs / 2);
	});
});
