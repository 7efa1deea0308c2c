/** Run ends that workers list: each belongs to one incarnation of its worker, and a list may be truncated. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createWorker, HandDrivenHost, listLogEvents, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {SchedulerEffect} from './effects.js';
import type {EndedRow} from './types.js';

const jobId = '0000000000000001';

function createEnd(number: number, task: string, how: EndedRow['how'] = 'stopped'): EndedRow {
	return {
		number, task, run: 1, how, checkpoint: '',
	};
}

function createHost(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	return host;
}

function startOne(host: HandDrivenHost): EffectOf<'worker/start'> {
	return listStarts(host.submit(createJob(1, [createStep({count: 1})])))[0]!;
}

/** Answers a poll as a worker does that is not the addressed incarnation. */
function answerOtherIncarnation(host: HandDrivenHost): void {
	host.answerPoll('w1', {outcome: 'other-life', answerBornAt: undefined});
}

function listStops(effects: readonly SchedulerEffect[]): string[] {
	return effects.filter(effect => effect.type === 'worker/stop').map(({worker, task, run}) => `${task}#${run} at ${worker.id}/${worker.bornAt}`);
}

describe('stored run ends', () => {
	it('belong to the incarnation that listed them: an append from before a restart acknowledges none of the new incarnation', () => {
		const host = createHost();
		host.answerStart(startOne(host));
		host.tick(100);
		host.isConfirmingAppends = false;
		const commit = host.answerPoll('w1', {ended: [createEnd(57, `${jobId}.0.0.0`, 'failed')]}).find(effect => effect.type === 'ledger/commit');
		host.answerPoll('w1', {answerBornAt: 2});
		host.tick();
		host.answerPoll('w1', {bornAt: 2, ended: [createEnd(1, 'x', 'done')]});
		const worker = host.state.workers.get('w1')!;
		expect({lastReadEnd: worker.lastReadEnd, lastStoredEnd: worker.lastStoredEnd}).toEqual({lastReadEnd: 1, lastStoredEnd: 0});
		const effects = host.store(commit!);
		expect(worker.lastStoredEnd).toEqual(0);
		const next = [...effects, ...host.tick()].find(effect => effect.type === 'ledger/commit');
		host.store(next!);
		expect(worker.lastStoredEnd).toEqual(1);
	});
});

describe('a truncated list of run ends', () => {
	const others = (count: number) => Array.from({length: count}, (_, index) => createEnd(index + 1, `other.0.0.${index}`));

	it('does not show that an unlisted run is gone: its end may be the next one', () => {
		const host = createHost();
		host.answerStart(startOne(host));
		host.tick(500);
		expect(listLogEvents(host.answerPoll('w1', {ended: others(500)})).includes('run-absent')).toEqual(false);
		host.tick(100);
		const effects = host.answerPoll('w1', {ended: [createEnd(501, `${jobId}.0.0.0`, 'done')]});
		expect(listLogEvents(effects).includes('job-ended')).toEqual(true);
	});

	it('does show it once the list is complete', () => {
		const host = createHost();
		host.answerStart(startOne(host));
		host.tick(500);
		expect(listLogEvents(host.answerPoll('w1', {ended: others(499)})).includes('run-absent')).toEqual(true);
	});
});

describe('a start that may be carried out late', () => {
	const lateMs = 9000;

	it('is remembered while its worker is gone, and stopped at the next incarnation', () => {
		const host = createHost();
		host.answerStart(startOne(host), 'unknown');
		host.dispatch({type: 'workers/listed', workers: [], isReloaded: false});
		answerOtherIncarnation(host);
		host.tick(lateMs);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: 2})], isReloaded: false});
		expect(listStops(host.tick(100))).toEqual([`${jobId}.0.0.0#1 at w1/2`]);
	});

	it('is also remembered if it was not answered itself and the poll shows another incarnation', () => {
		const host = createHost();
		startOne(host);
		host.dispatch({type: 'workers/listed', workers: [], isReloaded: false});
		answerOtherIncarnation(host);
		host.tick(lateMs);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: 2})], isReloaded: false});
		expect(listStops(host.tick(100))).toEqual([`${jobId}.0.0.0#1 at w1/2`]);
	});

	it('expires after a while, and the worker with it', () => {
		const host = createHost();
		host.answerStart(startOne(host), 'unknown');
		host.dispatch({type: 'workers/listed', workers: [], isReloaded: false});
		answerOtherIncarnation(host);
		host.tick(16_000);
		expect(host.state.workers.size).toEqual(0);
	});
});
