/** A short seeded soak of the real programs, and the seeds that once broke a promise. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {RunBook} from './run-book.js';
import {runSoak} from './soak.js';

describe('the fault soak', () => {
	it('keeps all promises in a short run', async () => {
		const {violations, accepted, starts} = await runSoak({
			seed: 1, faultMs: 8000, hosts: 3, workers: 4,
		});
		expect(violations).toEqual([]);
		expect(accepted > 0 && starts > 0).toEqual(true);
	});
});

describe('the soak\'s judgement', () => {
	it('tells of a task that runs twice at once, after its end, too early, or for a refused job', () => {
		const facts = new Map([['a', {rejectedAt: undefined, cancelledAt: undefined, firstStepTasks: 1}], ['b', {rejectedAt: 1, cancelledAt: undefined, firstStepTasks: 1}]]);
		const book = RunBook.create({findJob: jobId => facts.get(jobId), readClock: () => 10});
		book.noteStart('w-0', 'a.0.0.0', 1);
		book.noteStart('w-1', 'a.0.0.0', 2);
		book.noteEnd('w-0', 'a.0.0.0', 1, false);
		book.noteEnd('w-1', 'a.0.0.0', 2, false);
		book.noteStart('w-0', 'a.0.1.0', 1);
		book.noteEnd('w-0', 'a.0.1.0', 1, true);
		book.noteAcknowledged('a.0.1.0');
		book.noteStart('w-0', 'a.0.1.0', 2);
		book.noteStart('w-0', 'b.0.0.0', 1);
		book.noteStart('w-0', 'c.0.0.0', 1);
		expect(book.violations.map(text => /while it runs|before the step|after a run|refused|nobody/.exec(text)?.[0])).toEqual(['while it runs', 'before the step', 'after a run', 'before the step', 'refused', 'nobody']);
	});
});
