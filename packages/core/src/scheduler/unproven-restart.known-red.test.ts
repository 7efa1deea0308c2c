/** TWICE: news of a worker's restart frees tasks whose runs go on there. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	formerBornAt, listRun, reportBirth, startTask,
} from './testing/restart-news.js';

describe('news of a restart', () => {
	/** Guards against a registry entry of another writer with a later birth: the worker's runs went on, and all started elsewhere. */
	it('does not free a task whose worker still answers with its former birth', () => {
		const {host, start} = startTask(undefined);
		host.answerPoll(start.worker.id, {running: listRun(start)});
		expect(reportBirth(host, start, formerBornAt)).toEqual([]);
	});
});
