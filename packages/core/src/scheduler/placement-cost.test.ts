/** What it costs a leader that steps wait while the workers of their pool are full. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {createWorker, HandDrivenHost, listStarts} from './testing/hand-driven.js';
import type {Worker} from './state.js';

const workers = 60;
const jobs = 200;
const need = {cpu: 64_000, memoryMb: 100, gpu: 0};

/** Counts how often the used capacity of a worker is read. */
function countLooks(worker: Worker, count: {looks: number}): void {
	let {used} = worker;
	Object.defineProperty(worker, 'used', {
		get() {
			count.looks++;
			return used;
		},
		set(changed: Worker['used']) {
			used = changed;
		},
	});
}

/** A leader whose workers each run one task that fills them, with more tasks that wait. */
function createFullHost(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	const ids = Array.from({length: workers}, (_, index) => `w${index}`);
	host.dispatch({type: 'workers/listed', workers: ids.map(id => createWorker(id)), isReloaded: true});
	for (const id of ids) {
		host.answerPoll(id);
	}

	host.now += 20;
	for (let number = 1; number <= jobs; number++) {
		host.submit(createJob(number, [createStep({count: 1, need})]));
	}

	host.tick(200);
	expect([...host.state.workers.values()].filter(({tasks}) => tasks.size === 1).length).toEqual(workers);
	return host;
}

describe('steps that wait for room', () => {
	/** Guards against a pass that compares each of them with each full worker, which takes longer the more of both there are. */
	it('are not compared with workers that have no room for any of them', () => {
		const host = createFullHost();
		const count = {looks: 0};
		for (const worker of host.state.workers.values()) {
			countLooks(worker, count);
		}

		host.state.needsPlacement = true;
		host.tick(50);
		expect(count.looks).toBeLessThan(workers * 20);
		expect([...host.state.demand.values()][0]!.waitingTasks).toEqual(jobs - workers);
		expect([...host.state.demand.values()][0]!.refused.room).toEqual((jobs - workers) * workers);
	});

	/** Guards against a worker that is passed over for all steps because the first one does not fit. */
	it('leave what room there is to a later step that needs less', () => {
		const host = createFullHost();
		host.dispatch({type: 'workers/listed', workers: [createWorker('small', {capacity: {...need, cpu: 2000}})], isReloaded: false});
		host.answerPoll('small');
		host.now += 20;
		const starts = listStarts([...host.submit(createJob(jobs + 1, [createStep({count: 1, need: {...need, cpu: 2000}})])), ...host.tick(100)]);
		expect(starts.map(({worker}) => worker.id)).toEqual(['small']);
	});
});
