/** Sets of occurrence numbers behave like plain sets, and stay small for schedules that end in order. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Instant} from '../types/time.js';
import {
	addOccurrence, convertToRanges, createOccurrenceSet, findMissing, hasOccurrence, listOccurrences,
} from './occurrence-ranges.js';
import {createProgress, createRow, HandDrivenHost} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {JobProgress, LedgerRecord} from './types.js';

const numbers = fc.array(fc.nat(40));

describe('a set of occurrences', () => {
	it('holds just the numbers that were added, in sorted ranges that do not touch', () => {
		fc.assert(fc.property(numbers, added => {
			const set = createOccurrenceSet();
			for (const number of added) {
				addOccurrence(set, number);
			}

			const expected = [...new Set(added)].toSorted((a, b) => a - b);
			expect(listOccurrences(set.ranges)).toEqual(expected);
			expect(set.size).toEqual(expected.length);
			expect(set.ranges).toEqual(convertToRanges(added));
			expect(set.ranges.every(([first], index) => index === 0 || first > set.ranges[index - 1]![1] + 1)).toEqual(true);
			for (let number = 0; number <= 42; number++) {
				expect(hasOccurrence(set, number)).toEqual(expected.includes(number));
				expect(findMissing(set, number)).toEqual(Array.from({length: 50}, (_, index) => number + index).find(candidate => !expected.includes(candidate))!);
			}
		}));
	});

	it('takes one range for any number of occurrences that end in order', () => {
		const set = createOccurrenceSet();
		for (let number = 0; number < 100_000; number++) {
			addOccurrence(set, number);
		}

		expect(set.ranges).toEqual([[0, 99_999]]);
		expect(createOccurrenceSet(set.ranges).size).toEqual(100_000);
	});
});

describe('a schedule with more finished occurrences than a record lists', () => {
	/** Guards against a job whose record grows with each finished occurrence, until the store refuses it. */
	it('is stored in a record of the same size as before, and goes on after a change of the leader', () => {
		const job = createJob(1, [createStep({count: 1})], {runCount: 600_000, firstRunAt: 0 as Instant, intervalMs: 100_000_000_000});
		const {record} = createProgress(0, job, [createRow({occurrence: 7})]);
		const progress: JobProgress = {...(record as Extract<LedgerRecord, {type: 'progress'}>).progress, finishedOccurrences: [[0, 6], [8, 299_999]]};
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([{offset: 0, record: {type: 'progress', jobId: job.jobId, progress}}]);
		host.addWorkers('w1');
		host.now++;
		const effects = [...host.answerPoll('w1', {
			ended: [{
				number: 1, task: `${job.jobId}.7.0.0`, run: 1, how: 'done', checkpoint: '',
			}],
		}), ...host.tick(50)];
		const stored = effects.flatMap(effect => effect.type === 'ledger/commit' ? effect.records : []).findLast(({type}) => type === 'progress');
		expect(stored?.type === 'progress' ? stored.progress.finishedOccurrences : undefined).toEqual([[0, 299_999]]);
		expect(JSON.stringify(stored).length < 300).toEqual(true);
	});
});
