/** DRAIN: no start goes to a worker after the registry has told that it is draining, also not under a new leader. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createProgress, createRow, createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import type {SchedulerEffect} from './effects.js';
import type {WorkerEntry} from './types.js';

const ready = createWorker('w1');
const draining = createWorker('w1', {isDraining: true, remainingMs: 4000});
const job = createJob(1, [createStep({count: 2, estimateMs: 60_000})]);

function listWorkers(host: HandDrivenHost, ...workers: readonly WorkerEntry[]): SchedulerEffect[] {
	return host.dispatch({type: 'workers/listed', workers, isReloaded: false});
}

function createLeader(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	return host;
}

function listTargets(host: HandDrivenHost): string[] {
	return listStarts(host.effects).map(({worker}) => worker.id);
}

describe('a worker that is draining', () => {
	/** Guards against a start that was decided before the news and is sent after it, because the store was slow to take its placement. */
	it('gets no start of a placement that is stored after the news', () => {
		const host = createLeader();
		host.isConfirmingAppends = false;
		const commit: EffectOf<'ledger/commit'> | undefined = host.submit(job).find(effect => effect.type === 'ledger/commit');
		host.isConfirmingAppends = true;
		host.tick(100);
		listWorkers(host, draining, createWorker('w2'));
		host.answerPoll('w2');
		host.store(commit!);
		host.tick(500);
		expect(listTargets(host)).toEqual(['w2', 'w2']);
	});

	it('gets no task that arrives after the news, and none that comes back from elsewhere', () => {
		const host = createLeader();
		listWorkers(host, draining);
		host.submit(job);
		host.tick(500);
		expect(listTargets(host)).toEqual([]);
		listWorkers(host, draining, createWorker('w2'));
		host.now++;
		host.answerPoll('w2');
		host.tick(100);
		expect(listTargets(host)).toEqual(['w2', 'w2']);
		const starts = listStarts(host.effects);
		for (const start of starts) {
			host.answerStart(start);
		}

		host.now++;
		host.answerPoll('w2', {
			ended: starts.map(({task, run}, index) => ({
				number: index + 1, task, run, how: 'failed', checkpoint: '',
			})),
		});
		host.tick(500);
		expect(new Set(listTargets(host))).toEqual(new Set(['w2']));
	});

	it('gets no start of a new leader, whether the news or the answer to its first poll comes first', () => {
		for (const isNewsFirst of [true, false]) {
			const host = HandDrivenHost.create();
			host.submit(job);
			// The former leader has placed one task there; its start was never sent.
			host.takeLeadership([createProgress(0, job, [createRow()])]);
			if (isNewsFirst) {
				listWorkers(host, draining);
			}

			host.now++;
			host.answerPoll('w1');
			listWorkers(host, draining);
			host.tick(500);
			host.answerPoll('w1');
			host.tick(500);
			expect(listTargets(host)).toEqual([]);
		}
	});

	/** Guards against a reload of the registry that is some seconds old. */
	it('stays so when the registry tells of an earlier report again', () => {
		const host = createLeader();
		listWorkers(host, {...draining, sequence: 8});
		listWorkers(host, {...ready, sequence: 7});
		host.submit(job);
		host.tick(500);
		expect(listTargets(host)).toEqual([]);
		listWorkers(host, {...ready, bornAt: 2, sequence: 1});
		host.answerPoll('w1', {bornAt: 2, answerBornAt: 2});
		host.tick(100);
		expect(listTargets(host)).toEqual(['w1', 'w1']);
	});

	it('stays so for a leader that loses the lead and takes it again', () => {
		const host = createLeader();
		listWorkers(host, draining);
		host.dispatch({type: 'commit/ended', outcome: 'fenced', sequence: 0});
		expect(host.state.leadership.role).toEqual('follower');
		host.submit(job);
		host.takeLeadership([{offset: 5, record: {type: 'lease', lease: {holder: 'other', token: 6, isReleased: false}}}]);
		host.answerPoll('w1');
		host.tick(500);
		expect(listTargets(host)).toEqual([]);
		listWorkers(host, draining);
		host.answerPoll('w1');
		host.tick(500);
		expect(listTargets(host)).toEqual([]);
		listWorkers(host, {...ready, bornAt: 2});
		host.answerPoll('w1', {bornAt: 2, answerBornAt: 2});
		host.tick(100);
		expect(listTargets(host)).toEqual(['w1', 'w1']);
	});
});
