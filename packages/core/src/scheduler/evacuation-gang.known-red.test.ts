/** Workers that drain and have members of a gang. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createWorker, HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {createJob, createStep, poolName} from './testing/model-jobs.js';
import type {SchedulerEffect} from './effects.js';
import type {StepDefinition} from './types.js';

const longNoticeMs = 20_000;

/** A gang at work on the workers `ids`; then w1 drains, and w9 is free. Returns the host and the members' starts. */
function drainGang(ids: readonly string[], step: Partial<StepDefinition>) {
	const capacity = {cpu: 4000, memoryMb: 100_000, gpu: 0};
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.dispatch({type: 'workers/listed', workers: ids.map(id => createWorker(id, {capacity})), isReloaded: false});
	host.now++;
	for (const id of ids) {
		host.answerPoll(id);
	}

	host.tick(100);
	const starts = listStarts([...host.submit(createJob(1, [createStep({isGang: true, isLongRunning: true, ...step})])), ...host.tick(100)]);
	for (const start of starts) {
		host.answerStart(start);
	}

	host.tick(1000);
	for (const id of ids) {
		host.answerPoll(id, {
			running: starts.filter(({worker}) => worker.id === id).map(({task, run}) => ({
				task, run, checkpoint: '', percent: 100, reading: 0,
			})),
		});
	}

	host.dispatch({type: 'workers/listed', workers: [...ids.map(id => createWorker(id, {capacity, ...(id === 'w1' && {isDraining: true, remainingMs: longNoticeMs})})), createWorker('w9', {capacity})], isReloaded: false});
	host.now++;
	host.answerPoll('w9');
	return {host, starts};
}

function listStops(effects: readonly SchedulerEffect[]) {
	return effects.filter(effect => effect.type === 'worker/stop');
}

describe('a gang with members at a worker that is draining', () => {
	/** Guards against room that is planned once for each member for all members: the pool asks for a machine although there is room. */
	it('needs no machine if there is room for all members', () => {
		const {host, starts} = drainGang(['w1'], {count: 2, need: {cpu: 2000, memoryMb: 100, gpu: 0}});
		expect(starts.length).toEqual(2);
		const stops = listStops(host.tick(100));
		expect(stops.length).toEqual(1);
		expect(host.state.demand.get(poolName)?.leavingWithoutRoom).toEqual(0);
	});

	/** Guards against stops of members at sound workers of a step that may miss one, long before the worker leaves (AVAIL). */
	it('is not stopped at workers that stay, beyond what its step may miss', () => {
		const {host, starts} = drainGang(['w1', 'w2', 'w3'], {count: 3, need: {cpu: 4000, memoryMb: 100, gpu: 0}, maxUnavailable: 1});
		expect(starts.length).toEqual(3);
		const stops = listStops(host.tick(200));
		for (const {worker, task, run, token} of stops) {
			host.dispatch({
				type: 'stop/ended', workerId: worker.id, bornAt: 1, task, run, outcome: 'stopped', token,
			});
			host.now++;
			host.answerPoll(worker.id, {
				ended: [{
					number: 1, task, run, how: 'stopped', checkpoint: '',
				}],
			});
		}

		const stopped = listStops(host.effects).map(({worker}) => worker.id).filter(id => id !== 'w1');
		expect(stopped).toEqual([]);
	});
});
