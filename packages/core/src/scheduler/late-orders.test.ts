/** TWICE: orders of testing/process-orders.ts, found by its generator and shortened, that once had a task run on two workers. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runDrawnOrder, type DrawnOrder} from './testing/process-orders.js';

/** Numbers that are 0 but for these. */
function createDraws(length: number, changes: Readonly<Record<number, number>>): number[] {
	return Array.from({length}, (_, index) => changes[index] ?? 0);
}

const cases: ReadonlyArray<{readonly name: string; readonly order: DrawnOrder}> = [
	{
		name: 'a start that is carried out late, first thing after the birth',
		order: {
			workers: 3,
			tasks: [{runMs: 232, afterMs: 294}, {runMs: 9000, afterMs: 117}],
			restarts: [
				{
					worker: 0, afterMs: 1208, downMs: 573, reportMs: 689,
				},
			],
			draws: createDraws(33, {
				10: 9782, 11: 1598,
			}),
			areCallsLate: true,
		},
	},
	{
		name: 'the same, while the task waits for its start elsewhere',
		order: {
			workers: 2,
			tasks: [{runMs: 617, afterMs: 399}, {runMs: 887, afterMs: 53}],
			restarts: [
				{
					worker: 0, afterMs: 308, downMs: 822, reportMs: 717,
				},
				{
					worker: 1, afterMs: 1500, downMs: 102, reportMs: 35,
				},
				{
					worker: 1, afterMs: 1434, downMs: 104, reportMs: 496,
				},
			],
			draws: createDraws(38, {
				5: 9073, 11: 7775, 17: 9048, 22: 5383, 24: 6578, 27: 1098, 35: 1096,
			}),
			areCallsLate: true,
		},
	},
	{
		name: 'the same, after the task has ended as done',
		order: {
			workers: 3,
			tasks: [{runMs: 207, afterMs: 148}, {runMs: 573, afterMs: 386}],
			restarts: [
				{
					worker: 0, afterMs: 1169, downMs: 625, reportMs: 76,
				},
			],
			draws: createDraws(48, {
				1: 7692, 8: 6296, 10: 9991, 45: 3670,
			}),
			areCallsLate: true,
		},
	},
];

describe('workers that restart beside calls on their way run no task twice', () => {
	for (const {name, order} of cases) {
		it(name, () => {
			expect(runDrawnOrder(order).violations).toEqual([]);
		});
	}
});
