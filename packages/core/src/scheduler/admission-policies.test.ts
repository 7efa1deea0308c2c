/** Compares policies of admission under bursts beyond the capacity of a pool; the results are printed by kind of job. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {OverloadRun, type KindResult, type Policy} from './testing/overload-run.js';

const seeds = [1, 2, 3];
/** In a burst, four times what the pool can do. */
const meanLoad = 0.8;
const kinds = ['one-step', 'two-steps'] as const;

type Sums = Record<(typeof kinds)[number], KindResult>;

function runPolicy(policy: Policy): Sums {
	const runs = seeds.map(seed => OverloadRun.create({
		seed, policy, cycles: 2, meanLoad,
	}).run().byKind);
	const sum = (kind: (typeof kinds)[number], name: keyof KindResult) => runs.reduce((total, run) => total + run[kind][name], 0);
	const sumKind = (kind: (typeof kinds)[number]): KindResult => ({
		inTime: sum(kind, 'inTime'), late: sum(kind, 'late'), useless: sum(kind, 'useless'), refused: sum(kind, 'refused'), refusedAgain: sum(kind, 'refusedAgain'),
	});
	return {'one-step': sumKind('one-step'), 'two-steps': sumKind('two-steps')};
}

function countInTime(sums: Sums): number {
	return sums['one-step'].inTime + sums['two-steps'].inTime;
}

describe('admission under bursts', () => {
	/** Guards against: callers wait in vain, or the pool works for callers who have given up while others could be served. */
	it('serves more jobs of each kind of use than accepting all, fewer in vain, and more in time than a bound on the queue', t => {
		const acceptAll = runPolicy('accept-all');
		const queueLength = runPolicy('queue-length');
		const expectedWait = runPolicy('expected-wait');
		for (const [policy, sums] of Object.entries({acceptAll, queueLength, expectedWait})) {
			t.diagnostic(`${policy}: ${JSON.stringify(sums)}`);
		}

		for (const kind of kinds) {
			expect(expectedWait[kind].inTime + expectedWait[kind].late > acceptAll[kind].inTime + acceptAll[kind].late).toEqual(true);
			expect(expectedWait[kind].useless < acceptAll[kind].useless).toEqual(true);
		}

		expect(countInTime(expectedWait) > countInTime(queueLength)).toEqual(true);
	});
});
