/** TWICE: ways by which a start without an answer could be forgotten, or be remembered too long. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createProgress, createRow, createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {lateStartMs} from './timing.js';
import type {SchedulerEffect} from './effects.js';

const uptimeMs = 5000;
const tickMs = 25;

type Start = EffectOf<'worker/start'>;

function create(...ids: string[]): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers(...ids);
	host.tick(uptimeMs);
	return host;
}

function confirmStops(host: HandDrivenHost, effects: SchedulerEffect[]): SchedulerEffect[] {
	const more: SchedulerEffect[] = [];
	for (const effect of effects) {
		if (effect.type === 'worker/stop') {
			more.push(...host.dispatch({
				type: 'stop/ended', workerId: effect.worker.id, bornAt: effect.worker.bornAt, task: effect.task, run: effect.run, outcome: 'stopped', token: host.token,
			}));
		}
	}

	return more;
}

function pass(host: HandDrivenHost, ms: number, ids: readonly string[], bornAt: Record<string, number> = {}): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	const end = host.now + ms;
	while (host.now < end) {
		const latest = host.tick(tickMs);
		latest.push(...confirmStops(host, latest));
		host.now++;
		for (const id of ids) {
			latest.push(...host.answerPoll(id, {bornAt: bornAt[id] ?? 1}));
		}

		effects.push(...latest);
	}

	return effects;
}

const places = (starts: Start[]) => starts.map(({worker, run}) => `${worker.id}#${run}`);

describe('a start that may still be carried out', () => {
	/** Guards against a task that is free although the answer to its start shows that its run has begun. */
	it('an answer "started" does not free a task that a 421 returned', () => {
		const host = create('w1', 'w2');
		const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)]);
		host.now += 50;
		const other = start!.worker.id === 'w1' ? 'w2' : 'w1';
		// Another call to the worker is answered by another one; the task is bound by its start.
		const effects = [...host.answerPoll(start!.worker.id, {outcome: 'other-life', isExtra: true}), ...host.tick(tickMs)];
		expect(places(listStarts(effects))).toEqual([]);
		host.now += 50;
		const after = [...host.answerStart(start!, 'started'), ...host.tick(tickMs)];
		host.now++;
		after.push(...host.answerPoll(other), ...pass(host, 500, [other]));
		expect({again: places(listStarts(after)), stops: after.filter(({type}) => type === 'worker/stop').length}).toEqual({again: [], stops: 0});
	});

	/** Guards against a start that is forgotten when a stop and a list come before its missing answer. */
	it('a start whose stop and list came before its missing answer binds its task (gang)', () => {
		const host = create('w1', 'w2', 'w3');
		const step = createStep({
			count: 2, isGang: true, need: {cpu: 40_000, memoryMb: 100, gpu: 0}, estimateMs: 9000,
		});
		const starts = listStarts([...host.submit(createJob(1, [step])), ...host.tick(tickMs)]);
		expect(starts.length).toEqual(2);
		const [first, second] = starts;
		host.now += 10;
		const effects = host.answerStart(first!, 'no-room');
		host.now += 10;
		confirmStops(host, effects);
		host.now += 2;
		const freed = [...host.answerPoll(second!.worker.id, {isExtra: true}), ...host.tick(tickMs)];
		// The start of the second member stays without an answer.
		host.now += 380;
		const later = host.answerStart(second!, 'unknown');
		const task = [...host.state.jobs.values()][0]!.live!.occurrences.get(0)!.steps[0]!.tasks.find(({name}) => name === second!.task)!;
		const bound = task.lateStarts.length;
		const again = listStarts([...freed, ...later, ...pass(host, 3000, ['w1', 'w2', 'w3'])]).filter(({task: name, worker}) => name === second!.task && worker.id !== second!.worker.id);
		expect({bound, elsewhere: places(again)}).toEqual({bound: 1, elsewhere: []});
	});

	/** Guards against the same for a cancelled job. */
	it('the same for a cancelled job: the late start is known, so that the next process is told to stop it', () => {
		const host = create('w1');
		const job = createJob(1, [createStep({count: 1, estimateMs: 9000})]);
		const [start] = listStarts([...host.submit(job), ...host.tick(tickMs)]);
		host.now += 10;
		const effects = host.dispatch({type: 'intake/read', records: [{type: 'cancel', jobId: job.jobId}]});
		host.now += 10;
		confirmStops(host, effects);
		host.now += 2;
		host.answerPoll('w1', {isExtra: true});
		host.now += 380;
		host.answerStart(start!, 'unknown');
		expect(host.state.workers.get('w1')!.lateStarts.length).toEqual(1);
	});

	/** Guards against a task that is bound from its first attempt on only. */
	it('a repeat without an answer binds its task for as long as it may be carried out', () => {
		const host = create('w1', 'w2');
		let [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)]);
		for (let attempt = 0; attempt < 3; attempt++) {
			host.now += 400;
			host.answerStart(start!, 'unknown');
			host.now += 400;
			const [again] = listStarts([...host.answerPoll(start!.worker.id), ...host.tick(tickMs)]);
			start = again ?? start;
		}

		const worker = host.state.workers.get(start!.worker.id)!;
		expect(worker.lateStarts[0]!.forgetAt).toBeGreaterThanOrEqual(worker.tasks.get(start!.task)!.sentAt + lateStartMs);
	});

	/** Guards against a call to an address of which only an unproven entry tells. */
	it('a restart that only the registry tells is asked for where the worker is known to be', () => {
		const host = create('w1', 'w2');
		const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)]);
		host.now++;
		host.answerStart(start!);
		const running = [{
			task: start!.task, run: start!.run, checkpoint: '', percent: 1, reading: undefined,
		}];
		const {id} = start!.worker;
		const other = id === 'w1' ? 'w2' : 'w1';
		host.now++;
		host.answerPoll(id, {running});
		host.now += 10;
		host.answerPoll(id, {outcome: 'unknown'});
		const effects = host.dispatch({type: 'workers/listed', workers: [createWorker(id, {bornAt: 5, address: '10.9.9.9:80'}), createWorker(other)], isReloaded: false});
		effects.push(...host.tick(600));
		const addresses = effects.filter(effect => effect.type === 'worker/poll').filter(({worker}) => worker.id === id).map(({worker}) => worker.address);
		expect([...new Set(addresses)]).toEqual([start!.worker.address]);
	});

	/** Guards against a later run that nobody stops. */
	it('a later run whose start is under way is stopped when an earlier run is found done', () => {
		const host = create('w1');
		const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)]);
		host.answerStart(start!);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {isDraining: true, remainingMs: 60_000}), createWorker('w2')], isReloaded: false});
		host.now += 2;
		const [second] = listStarts([...host.answerPoll('w2'), ...host.answerPoll('w1'), ...host.tick(tickMs)]);
		expect(second?.worker.id).toEqual('w2');
		host.now++;
		const effects = host.answerPoll('w1', {
			ended: [{
				number: 1, task: start!.task, run: start!.run, how: 'done', checkpoint: '',
			}],
		});
		// The poll that was pending at w2 is answered before the start is carried out.
		host.now++;
		effects.push(...host.answerPoll('w2'), ...host.answerStart(second!), ...host.tick(3000));
		const stops = effects.filter(({type}) => type === 'worker/stop').length;
		const polls = effects.filter(effect => effect.type === 'worker/poll' && effect.worker.id === 'w2').length;
		expect({isAttendedTo: stops + polls > 0}).toEqual({isAttendedTo: true});
	});

	/** Guards against a task that waits for a worker that leaves for good. */
	it('a stored placement at a draining worker, not sent by the former leader, starts elsewhere within 7 s of the takeover', () => {
		const host = HandDrivenHost.create();
		const job = createJob(1, [createStep({count: 1, estimateMs: 9000})]);
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow({})])]);
		const since = host.now;
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {isDraining: true, remainingMs: 60_000}), createWorker('w2')], isReloaded: true});
		let at = -1;
		while (host.now < since + 20_000 && at < 0) {
			host.now++;
			const latest = [...host.answerPoll('w1'), ...host.answerPoll('w2'), ...host.tick(tickMs)];
			latest.push(...confirmStops(host, latest));
			at = listStarts(latest).some(({worker}) => worker.id === 'w2') ? host.now - since : -1;
		}

		expect({isInTime: at > 0 && at < 7000, at}).toEqual({isInTime: true, at});
	});

	/** Guards against a new leader that waits for a worker without need. */
	it('a task is not stored as placed any more once it is bound no longer', () => {
		const host = create('w1');
		const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)]);
		let latest: Start | undefined = start;
		for (let attempt = 0; attempt < 3; attempt++) {
			host.now += 400;
			host.answerStart(latest ?? start!, 'unknown');
			host.now++;
			[latest] = listStarts([...host.answerPoll('w1'), ...host.tick(tickMs)]);
		}

		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {isDraining: true, remainingMs: 600_000})], isReloaded: false});
		pass(host, 40_000, ['w1']);
		const records = host.effects.filter(effect => effect.type === 'ledger/commit').map(effect => JSON.stringify(effect)).filter(text => text.includes('"index":0'));
		expect({stored: /"status":"(\w+)"/.exec(records.at(-1)!)?.[1], live: host.state.workers.get('w1')!.tasks.size}).toEqual({stored: 'waiting', live: 0});
	});

	/** Guards against a sound run that is stopped for the answer to a repeated start. */
	it('a refusal of the repeat does not stop a run that a list has shown', () => {
		const host = create('w1', 'w2');
		const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)]);
		host.now += 400;
		host.answerStart(start!, 'unknown');
		host.now++;
		const [again] = listStarts([...host.answerPoll(start!.worker.id), ...host.tick(tickMs)]);
		expect(again?.run).toEqual(1);
		host.now += 10;
		host.answerPoll(start!.worker.id, {
			running: [{
				task: start!.task, run: start!.run, checkpoint: '', percent: 1, reading: undefined,
			}],
		});
		host.now += 10;
		expect(host.answerStart(again!, 'unhealthy').filter(({type}) => type === 'worker/stop').length).toEqual(0);
	});

	/** Guards against a poll without an address. */
	it('a restored worker whose restart the registry tells is asked at an address', () => {
		const host = HandDrivenHost.create();
		const job = createJob(1, [createStep({count: 1, estimateMs: 9000})]);
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow({})])]);
		const effects = host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: 2}), createWorker('w2')], isReloaded: true});
		const addresses = effects.filter(effect => effect.type === 'worker/poll').filter(({worker}) => worker.id === 'w1').map(({worker}) => worker.address);
		expect([...new Set(addresses)]).toEqual(['10.0.0.1:80']);
	});

	/** Guards against a task that starts elsewhere after a takeover, while the start of the former leader may still be carried out. */
	it('a restored start binds its task after the lease of a silent worker has lapsed', () => {
		const host = HandDrivenHost.create();
		const job = createJob(1, [createStep({count: 1, estimateMs: 9000})]);
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow({})])]);
		const since = host.now;
		host.dispatch({type: 'workers/listed', workers: [createWorker('w2')], isReloaded: true});
		host.now++;
		host.answerPoll('w2');
		const effects: SchedulerEffect[] = [];
		let at = 0;
		while (host.now < since + 14_000 && at === 0) {
			const latest = [...host.tick(tickMs)];
			host.now++;
			latest.push(...host.answerPoll('w2'));
			effects.push(...latest);
			at = listStarts(latest).length > 0 ? host.now - since : 0;
		}

		expect({starts: places(listStarts(effects)), at}).toEqual({starts: [], at: 0});
	});
});
