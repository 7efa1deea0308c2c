/** The quarantine of a failing target gets longer with each failed probation, not with each attempt that fails at the same time. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createTestHost} from '../log/test-fleet.js';
import type {AvailabilityZone, HostId, ServiceId} from '../types/ids.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {recordAttemptResult} from './health.js';
import {createTarget} from './state.js';

const start = 1_000_000 as Instant;
const initialQuarantineMs = 500;

function createTestTarget() {
	const state = createTestHost('entry-1');
	state.now = start;
	const target = createTarget({
		hostId: 'runner-1' as HostId,
		role: 'runner',
		availabilityZone: 'ee-south-a' as AvailabilityZone,
		address: '127.0.0.2:1',
		service: 'routes' as ServiceId,
		state: 'live',
	});
	return {state, target};
}

describe('health of targets', () => {
	it('eight attempts lost together quarantine a target once, for the initial time', () => {
		const {state, target} = createTestTarget();
		for (let lost = 0; lost < 8; lost++) {
			recordAttemptResult(state, target, {end: 'lost', startedAt: addMilliseconds(start, -300)}, true);
		}

		expect(target.quarantinedUntil).toEqual(addMilliseconds(start, initialQuarantineMs));
	});

	it('an attempt that started before the quarantine and is lost after it is not counted', () => {
		const {state, target} = createTestTarget();
		for (let lost = 0; lost < 3; lost++) {
			recordAttemptResult(state, target, {end: 'lost', startedAt: addMilliseconds(start, -300)}, true);
		}

		state.now = addMilliseconds(start, initialQuarantineMs + 100);
		recordAttemptResult(state, target, {end: 'lost', startedAt: addMilliseconds(start, -200)}, true);
		expect(target.quarantinedUntil).toEqual(addMilliseconds(start, initialQuarantineMs));
	});

	it('a failed attempt on probation doubles the quarantine, an answer ends the probation', () => {
		const {state, target} = createTestTarget();
		for (let lost = 0; lost < 3; lost++) {
			recordAttemptResult(state, target, {end: 'lost', startedAt: start}, true);
		}

		state.now = addMilliseconds(start, initialQuarantineMs + 100);
		recordAttemptResult(state, target, {end: 'unsent', startedAt: state.now}, true);
		expect(target.quarantinedUntil).toEqual(addMilliseconds(state.now, 2 * initialQuarantineMs));
		recordAttemptResult(state, target, {end: 'answered', startedAt: state.now}, true);
		expect([target.failures, target.quarantineCount, target.isOnProbation]).toEqual([0, 0, false]);
	});

	it('a service\'s last target is not quarantined', () => {
		const {state, target} = createTestTarget();
		for (let lost = 0; lost < 8; lost++) {
			recordAttemptResult(state, target, {end: 'lost', startedAt: start}, false);
		}

		expect(target.quarantinedUntil).toEqual(0 as Instant);
	});
});
