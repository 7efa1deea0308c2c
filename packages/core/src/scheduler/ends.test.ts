/** Ends that workers list: each belongs to one life of its worker, and a list of them may be cut. */
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

/** Another process than the one that was meant has answered a look. */
function answerOtherLife(host: HandDrivenHost): void {
	host.answerPoll('w1', {outcome: 'other-life', answerBornAt: undefined});
}

function listStops(effects: readonly SchedulerEffect[]): string[] {
	return effects.filter(effect => effect.type === 'worker/stop').map(({worker, task, run}) => `${task}#${run} at ${worker.id}/${worker.bornAt}`);
}

describe('ends that are stored', () => {
	it('are those of the life that listed them: an append of before a restart acknowledges none of after it', () => {
		const host = createHost();
		host.answerStart(startOne(host));
		host.tick(100);
		host.isConfirmingAppends = false;
		const commit = host.answerPoll('w1', {ended: [createEnd(57, `${jobId}.0.0.0`, 'failed')]}).find(effect => effect.type === 'ledger/commit');
		host.answerPoll('w1', {answerBornAt: 2});
		host.tick();
		host.answerPoll('w1', {bornAt: 2, ended: [createEnd(1, 'x', 'done')]});
		const worker = host.state.workers.get('w1')!;
		expect({readEnd: worker.lastReadEnd, storedEnd: worker.lastStoredEnd}).toEqual({readEnd: 1, storedEnd: 0});
		const effects = host.store(commit!);
		expect(worker.lastStoredEnd).toEqual(0);
		const next = [...effects, ...host.tick()].find(effect => effect.type === 'ledger/commit');
		host.store(next!);
		expect(worker.lastStoredEnd).toEqual(1);
	});
});

describe('a list of ends that is cut', () => {
	const others = (count: number) => Array.from({length: count}, (_, index) => createEnd(index + 1, `other.0.0.${index}`));

	it('tells of no run that it is gone: its end may be the next one', () => {
		const host = createHost();
		host.answerStart(startOne(host));
		host.tick(500);
		expect(listLogEvents(host.answerPoll('w1', {ended: others(500)})).includes('run-absent')).toEqual(false);
		host.tick(100);
		const effects = host.answerPoll('w1', {ended: [createEnd(501, `${jobId}.0.0.0`, 'done')]});
		expect(listLogEvents(effects).includes('job-ended')).toEqual(true);
	});

	it('tells of it again once it is whole', () => {
		const host = createHost();
		host.answerStart(startOne(host));
		host.tick(500);
		expect(listLogEvents(host.answerPoll('w1', {ended: others(499)})).includes('run-absent')).toEqual(true);
	});
});

describe('a start that may be carried out late', () => {
	const lateMs = 9000;

	it('is remembered while its worker is gone, and stopped at the next life', () => {
		const host = createHost();
		host.answerStart(startOne(host), 'unknown');
		host.dispatch({type: 'workers/listed', workers: [], isReloaded: false});
		answerOtherLife(host);
		host.tick(lateMs);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: 2})], isReloaded: false});
		expect(listStops(host.tick(100))).toEqual([`${jobId}.0.0.0#1 at w1/2`]);
	});

	it('is remembered too where only another life has answered: nobody has seen it at work', () => {
		const host = createHost();
		startOne(host);
		host.dispatch({type: 'workers/listed', workers: [], isReloaded: false});
		answerOtherLife(host);
		host.tick(lateMs);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: 2})], isReloaded: false});
		expect(listStops(host.tick(100))).toEqual([`${jobId}.0.0.0#1 at w1/2`]);
	});

	it('is forgotten after its time, and the worker with it', () => {
		const host = createHost();
		host.answerStart(startOne(host), 'unknown');
		host.dispatch({type: 'workers/listed', workers: [], isReloaded: false});
		answerOtherLife(host);
		host.tick(16_000);
		expect(host.state.workers.size).toEqual(0);
	});
});
