/** A leader that learns of a worker's restart while a task runs there. */
import {
	createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './hand-driven.js';
import {createJob, createStep} from './model-jobs.js';

const uptimeMs = 15_000;
export const tickMs = 25;
/** The clock of the new process when it answers the start. */
export const youngClockMs = 400;
export const formerBornAt = 1;
export const laterBornAt = 5;
/** Shorter than any lease. */
const soonMs = 1000;

/** A leader that has started a task on one of two workers that have long been idle; `clockMs`: the worker's clock in its answer. */
export function startTask(clockMs: number | undefined): {host: HandDrivenHost; start: EffectOf<'worker/start'>} {
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

/** The run of a start, as its worker lists it. */
export function listRun(start: EffectOf<'worker/start'>) {
	return [{
		task: start.task, run: start.run, checkpoint: '', percent: 1, reading: undefined,
	}];
}

/** The registry tells a later birth of the worker of a start. Returns the starts that follow while the worker goes on listing the run. */
export function reportBirth(host: HandDrivenHost, start: EffectOf<'worker/start'>, answerBornAt: number) {
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
