/** TWICE: news of a worker's restart frees tasks whose runs go on there. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';

const uptimeMs = 15_000;
const tickMs = 25;
/** The clock of the new process when it answers the start. */
const youngClockMs = 400;
const formerBornAt = 1;
const laterBornAt = 5;
/** Shorter than any lease. */
const soonMs = 1000;

/** A leader that has started a task on one of two workers that have long been idle; `clockMs`: the worker's clock in its answer. */
function startTask(clockMs: number | undefined): {host: HandDrivenHost; start: EffectOf<'worker/start'>} {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1', 'w2');
	host.tick(uptimeMs);
	const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)]);
	host.now++;
	host.dispatch({
		type: 'start/ended', workerId: start!.worker.id, bornAt: start!.worker.bornAt, task: start!.task, run: start!.run, outcome: 'started', clockMs: clockMs ?? host.now, token: host.token,
	});
	return {host, start: start!};
}

function listRun(start: EffectOf<'worker/start'>) {
	return [{
		task: start.task, run: start.run, checkpoint: '', percent: 1, reading: undefined,
	}];
}

/** The registry tells a later birth of the worker of a start. Returns the starts that follow while the worker goes on listing the run. */
function reportBirth(host: HandDrivenHost, start: EffectOf<'worker/start'>, answerBornAt: number) {
	const workers = ['w1', 'w2'].map(id => createWorker(id, {bornAt: id === start.worker.id ? laterBornAt : formerBornAt}));
	const effects = host.dispatch({type: 'workers/listed', workers, isReloaded: false});
	const end = host.now + soonMs;
	while (host.now < end) {
		effects.push(...host.tick(tickMs));
		for (const bornAt of [formerBornAt, laterBornAt]) {
			effects.push(...host.answerPoll(start.worker.id, {bornAt, answerBornAt, running: listRun(start)}));
		}
	}

	return listStarts(effects);
}

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
