/** LOST: a worker that had already restarted when a task was started there has not been crashed by that task. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HandDrivenHost, listStarts, type EffectOf} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';

const uptimeMs = 15_000;
const answerMs = 5;
const nextBornAt = 2;

type AnswerStart = (start: EffectOf<'worker/start'>, host: HandDrivenHost) => void;

/** Starts a task on a worker that has been idle; returns how the loss of its former process is judged once a poll is answered by a process that has run for `clockMs`. */
function listBlames(clockMs: number, answer: AnswerStart): string[] {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	host.tick(uptimeMs);
	const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1})])), ...host.tick()]);
	host.now += answerMs;
	answer(start!, host);
	const task = host.state.workers.get('w1')!.tasks.get(start!.task)!;
	host.now += answerMs;
	host.dispatch({
		type: 'poll/ended', workerId: 'w1', bornAt: 1, outcome: 'held', sentAt: host.now - answerMs, isExtra: false, clockMs, answerBornAt: nextBornAt, running: [], ended: [],
	});
	return task.crashes.map(({blame}) => blame);
}

describe('a worker whose process was replaced before a task was started there', () => {
	/** Guards against a job that is shown as failed, as its task was started on workers that had crashed before. */
	it('does not count against the task', () => {
		expect(listBlames(400, (start, host) => {
			host.dispatch({
				type: 'start/ended', workerId: 'w1', bornAt: 1, task: start.task, run: start.run, outcome: 'started', clockMs: 400, token: host.token,
			});
		})).toEqual([]);
	});

	/** Guards against tasks that crash each worker at once and are never blamed, as their starts are not answered. */
	it('counts against the task if the new process was born after the start', () => {
		expect(listBlames(1, (start, host) => {
			host.answerStart(start, 'unknown');
		})).toEqual(['sole']);
	});
});
