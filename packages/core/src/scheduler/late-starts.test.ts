/** TWICE: a start without an answer is carried out late, by the next process of its worker, beside a later run elsewhere. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {lateStartMs} from './timing.js';
import type {SchedulerEffect} from './effects.js';

const uptimeMs = 5000;
const tickMs = 25;
const answerLimitMs = 400;
const attempts = 3;

type Start = EffectOf<'worker/start'>;

/** A leader that has sent a start to one of two idle workers. */
function sendStart(): {host: HandDrivenHost; start: Start} {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1', 'w2');
	host.tick(uptimeMs);
	const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)]);
	return {host, start: start!};
}

/** The start is left without an answer, and the worker's list does not show its run. */
function loseStart(host: HandDrivenHost, start: Start): SchedulerEffect[] {
	host.now += answerLimitMs;
	const effects = host.answerStart(start, 'unknown');
	host.now++;
	return [...effects, ...host.answerPoll(start.worker.id), ...host.tick(tickMs)];
}

/** Lets time pass in which both workers answer and confirm stops. */
function passTime(host: HandDrivenHost, ms: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	const end = host.now + ms;
	while (host.now < end) {
		const latest = host.tick(tickMs);
		for (const effect of latest) {
			if (effect.type === 'worker/stop') {
				latest.push(...host.dispatch({
					type: 'stop/ended', workerId: effect.worker.id, bornAt: effect.worker.bornAt, task: effect.task, run: effect.run, outcome: 'stopped', token: host.token,
				}));
			}
		}

		host.now++;
		latest.push(...host.answerPoll('w1'), ...host.answerPoll('w2'));
		effects.push(...latest);
	}

	return effects;
}

describe('a start without an answer', () => {
	/** Guards against a task that is stopped and started elsewhere, where the same start would have been answered as begun. */
	it('is sent again to the same worker as the same run', () => {
		const {host, start} = sendStart();
		const [again] = listStarts(loseStart(host, start));
		expect([again?.worker.id, again?.run]).toEqual([start.worker.id, start.run]);
	});

	/** Guards against a task that runs on two workers: the stop was confirmed by a process that ended before the start was carried out. */
	it('keeps its task from all other workers for as long as it may be carried out', () => {
		const {host, start} = sendStart();
		let latest: Start | undefined = start;
		for (let attempt = 0; attempt < attempts; attempt++) {
			[latest] = listStarts(loseStart(host, latest ?? start));
		}

		const later = listStarts(passTime(host, lateStartMs - 2000));
		expect([latest, ...new Set(later.map(({worker}) => worker.id))]).toEqual([undefined, start.worker.id]);
	});

	/** Guards against a refusal of the second attempt that is taken for the end of the first one. */
	it('does not free its task when it is refused the second time', () => {
		const {host, start} = sendStart();
		const [again] = listStarts(loseStart(host, start));
		const effects = [...host.answerStart(again!, 'no-room'), ...host.tick(tickMs)];
		expect([listStarts(effects), effects.some(({type}) => type === 'worker/stop')]).toEqual([[], true]);
	});

	/** Guards against a pool that keeps its idle machines for a task that could not start on any of them. */
	it('leaves its task out of those that wait for room', () => {
		const {host, start} = sendStart();
		let latest: Start | undefined = start;
		for (let attempt = 0; attempt < attempts; attempt++) {
			[latest] = listStarts(loseStart(host, latest ?? start));
		}

		host.state.workers.get(start.worker.id)!.pausedUntil = host.now + lateStartMs;
		passTime(host, 1000);
		const [task] = [...host.state.jobs.values()][0]!.live!.occurrences.get(0)!.steps[0]!.tasks;
		expect([task!.status, [...host.state.demand.values()].map(({waitingTasks}) => waitingTasks)]).toEqual(['waiting', [0]]);
	});
});
