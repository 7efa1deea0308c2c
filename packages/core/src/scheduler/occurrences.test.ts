/** Occurrences of timed jobs after a change of the leader, when the clocks of the two leaders differ. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../types/time.js';
import {
	createProgress, createRow, HandDrivenHost, listStarts,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {SchedulerEffect} from './effects.js';

const wallStart = 1_800_000_000_000;
const dueMs = 7000;
const intervalMs = 5000;

const job = createJob(1, [createStep({count: 2})], {
	runCount: 3, firstRunAt: (wallStart + dueMs) as Instant, intervalMs,
});
const name = (occurrence: number, index: number) => `${job.jobId}.${occurrence}.0.${index}`;
/** Rows written by a leader whose clock was five seconds ahead: one task is done, the other waits for a start. */
const rows = [createRow({status: 'done', workerId: '', workerBornAt: 0}), createRow({
	index: 1, status: 'waiting', workerId: '', workerBornAt: 0,
})];

/** Advances the clock to `until` and answers every poll and start; returns the starts, each once. */
function run(host: HandDrivenHost, until: number): string[] {
	const started: string[] = [];
	const answer = (effects: readonly SchedulerEffect[]) => {
		for (const start of listStarts(effects)) {
			started.push(`${start.task}#${start.run}`);
			answer(host.answerStart(start));
		}
	};

	while (host.now < until) {
		const ticked = host.tick();
		answer(ticked);
		if (ticked.some(effect => effect.type === 'worker/poll')) {
			const running = [...host.state.workers.get('w1')!.tasks.values()].filter(task => task.isSent).map(task => ({
				task: task.name, run: task.run, checkpoint: '', percent: Math.floor(host.now / 100), reading: undefined,
			}));
			answer(host.answerPoll('w1', {running}));
		}
	}

	return started;
}

function createNextLeader(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.submit(job);
	host.takeLeadership([createProgress(0, job, rows)]);
	host.addWorkers('w1');
	return host;
}

describe('an occurrence that a former leader began and that is not yet due by this host\'s clock', () => {
	it('keeps its stored progress: a task that is done is not started again', () => {
		const host = createNextLeader();
		expect(run(host, dueMs + 1000)).toEqual([`${name(0, 1)}#2`]);
	});

	it('continues when it is due, not before', () => {
		const host = createNextLeader();
		expect(run(host, dueMs - 500)).toEqual([]);
		expect(run(host, dueMs + 500)).toEqual([`${name(0, 1)}#2`]);
	});

	it('does not make later occurrences start before they are due', () => {
		const host = createNextLeader();
		run(host, dueMs + 1000);
		expect(run(host, dueMs + intervalMs - 500)).toEqual([]);
		expect(run(host, dueMs + intervalMs + 500).toSorted()).toEqual([`${name(1, 0)}#1`, `${name(1, 1)}#1`]);
	});

	it('has its running tasks tracked before it is due', () => {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow()])]);
		expect([...host.state.workers.get('w1')?.tasks.keys() ?? []]).toEqual([name(0, 0)]);
	});

	it('is stored again with its complete progress', () => {
		const host = createNextLeader();
		host.state.dirtyJobs.add([...host.state.liveJobs][0]!);
		const commit = host.tick().find(effect => effect.type === 'ledger/commit');
		const record = commit?.records.find(({type}) => type === 'progress');
		expect(record?.type === 'progress' ? record.progress.rows.map(({status}) => status) : []).toEqual(['done', 'waiting']);
	});
});
