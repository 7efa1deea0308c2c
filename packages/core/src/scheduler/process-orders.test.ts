/** TWICE: no order of restarts, of news of them, and of calls on their way has a task run on two workers. */
import process from 'node:process';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {runDrawnOrder, type DrawnOrder} from './testing/process-orders.js';

const runMs = fc.oneof(fc.integer({min: 100, max: 1500}), fc.constant(9000));
const reportMs = fc.oneof(fc.nat(100), fc.nat(1500));
const order = fc.record({
	workers: fc.integer({min: 2, max: 3}),
	tasks: fc.array(fc.record({runMs, afterMs: fc.nat(400)}), {minLength: 1, maxLength: 6}),
	restarts: fc.array(fc.record({
		worker: fc.nat(2), afterMs: fc.nat(1500), downMs: fc.integer({min: 100, max: 900}), reportMs,
	}), {minLength: 1, maxLength: 6}),
	draws: fc.array(fc.nat(9999), {minLength: 20, maxLength: 200}),
});

function checkOrders(changes: Pick<DrawnOrder, 'areCallsLate' | 'areBirthsUntold'>): void {
	fc.assert(fc.property(order, drawn => {
		expect(runDrawnOrder({...drawn, ...changes}).violations).toEqual([]);
	}), {seed: Number(process.env.SEED ?? 20_261_207), numRuns: Number(process.env.RUNS ?? 200), endOnFailure: true});
}

describe('workers that restart beside calls on their way', () => {
	// Guards against: a source that does not tell which process answered, and frees a task that the next process runs.
	it('run no task twice, whatever comes first, when calls are carried out before their timeouts', () => {
		checkOrders({areCallsLate: false});
	});

	// Guards against the order of the users' record: a run that was counted for the former process is freed by the news of the restart.
	it('run no task twice when lists of runs do not tell a birth', () => {
		checkOrders({areCallsLate: false, areBirthsUntold: true});
	});
});
