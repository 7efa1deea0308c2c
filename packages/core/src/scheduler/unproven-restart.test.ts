/** TWICE: news of a worker's restart frees tasks whose runs go on there. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	formerBornAt, laterBornAt, listRun, reportBirth, startTask, tickMs, youngClockMs,
} from './testing/restart-news.js';

describe('news of a restart', () => {
	/** Guards against a run of the new process that counts as one of the former process, because a list of runs did not tell whose it was: the task ran on two workers. */
	it('does not free a task whose run a list without a birth has shown', () => {
		const {host, start} = startTask(youngClockMs);
		host.tick(tickMs);
		host.answerPoll(start.worker.id, {answerBornAt: undefined, clockMs: youngClockMs + tickMs, running: listRun(start)});
		expect(reportBirth(host, start, laterBornAt)).toEqual([]);
	});

	/** Guards against a registry entry of another writer with a later birth: the worker's runs went on, and all started elsewhere. */
	it('does not free a task whose worker still answers with its former birth', () => {
		const {host, start} = startTask(undefined);
		host.answerPoll(start.worker.id, {running: listRun(start)});
		expect(reportBirth(host, start, formerBornAt)).toEqual([]);
	});
});
