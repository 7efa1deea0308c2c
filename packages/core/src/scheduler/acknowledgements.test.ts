/** TWICE: a worker's next incarnation must not be told to forget run ends by an acknowledgement meant for the former one. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createProgress, createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {computeWorkerToken} from './incarnations.js';
import type {SchedulerEffect} from './effects.js';

const nextBornAt = 20;
const outageMs = 300;

type Poll = EffectOf<'worker/poll'>;

function listPolls(effects: readonly SchedulerEffect[]): Poll[] {
	return effects.filter(effect => effect.type === 'worker/poll');
}

function listAcknowledged(effects: readonly SchedulerEffect[]): number[] {
	return listPolls(effects).map(({acknowledgedEnd}) => acknowledgedEnd);
}

/** A leader whose only worker has run a task and lists its end; returns the effects of that answer. */
function endTask(host: HandDrivenHost): SchedulerEffect[] {
	host.takeLeadership();
	host.addWorkers('w1');
	const [start] = listStarts(host.submit(createJob(1, [createStep({count: 1})])));
	host.answerStart(start!);
	host.now += 500;
	return host.answerPoll('w1', {
		ended: [{
			number: 1, task: start!.task, run: start!.run, how: 'done', checkpoint: '',
		}],
	});
}

/** The worker is another process when it answers the poll that acknowledges an end. */
function restartAtAcknowledgement(): HandDrivenHost {
	const host = HandDrivenHost.create();
	expect(listAcknowledged(endTask(host))).toEqual([1]);
	host.now += 5;
	host.answerPoll('w1', {answerBornAt: nextBornAt});
	host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: nextBornAt})], isReloaded: false});
	host.now += 5;
	host.answerPoll('w1', {bornAt: nextBornAt, answerBornAt: nextBornAt});
	return host;
}

describe('the acknowledgement of a run end', () => {
	/** Guards against a process that forgets its own ends: it starts while the poll that repeats the former one's number is on its way. */
	it('is sent once, in a poll that does not wait', () => {
		const host = HandDrivenHost.create();
		const polls = listPolls(endTask(host));
		expect(polls.map(({acknowledgedEnd, waitMs}) => ({acknowledgedEnd, waitMs}))).toEqual([{acknowledgedEnd: 1, waitMs: 0}]);
		host.now += 5;
		host.answerPoll('w1');
		const [start] = listStarts([...host.submit(createJob(2, [createStep({count: 1})])), ...host.tick()]);
		expect(listAcknowledged([...host.answerStart(start!), ...host.tick(100)])).toEqual([0]);
	});

	/** Guards against the same where the worker has been silent: another process may be there when it answers. */
	it('is not sent in a poll that follows an unanswered one', () => {
		const host = HandDrivenHost.create();
		endTask(host);
		const polls = listAcknowledged([...host.answerPoll('w1', {outcome: 'unknown'}), ...host.tick(1000)]);
		expect(polls).toEqual([0]);
		expect(listAcknowledged(host.answerPoll('w1'))).toEqual([]);
	});

	/** Guards against the same on a slow store: the worker's last answer is old by the time its ends are stored. */
	it('waits for another answer of the worker when storing the ends has taken long', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.addWorkers('w1');
		const [start] = listStarts(host.submit(createJob(1, [createStep({count: 1})])));
		host.answerStart(start!);
		host.isConfirmingAppends = false;
		const ended = [{
			number: 1, task: start!.task, run: start!.run, how: 'done' as const, checkpoint: '',
		}];
		host.now += 50;
		const commit = [...host.answerPoll('w1', {ended}), ...host.tick(50)].find(effect => effect.type === 'ledger/commit');
		host.tick(outageMs);
		expect(listAcknowledged(host.store(commit!))).toEqual([0]);
		host.now += 5;
		expect(listAcknowledged(host.answerPoll('w1', {ended}))).toEqual([1]);
	});
});

describe('a process that may have got the acknowledgement of a former one', () => {
	/** Guards against a task that is started again after it has ended as done: its end is never listed. */
	it('is given no task whose end must be known', () => {
		const host = restartAtAcknowledgement();
		host.now += 100;
		expect(listStarts([...host.submit(createJob(2, [createStep({count: 1})])), ...host.tick(1000)])).toEqual([]);
	});

	/** Guards against a worker without use: tasks that last never end as done. */
	it('runs tasks that last, and others once it has listed an end', () => {
		const host = restartAtAcknowledgement();
		host.now += 100;
		const [start] = listStarts([...host.submit(createJob(2, [createStep({count: 1, isLongRunning: true})])), ...host.tick(100)]);
		host.answerStart(start!);
		host.answerPoll('w1', {
			bornAt: nextBornAt, answerBornAt: nextBornAt, ended: [{
				number: 1, task: start!.task, run: start!.run, how: 'failed', checkpoint: '',
			}],
		});
		host.answerPoll('w1', {bornAt: nextBornAt, answerBornAt: nextBornAt});
		expect(listStarts([...host.submit(createJob(3, [createStep({count: 1})])), ...host.tick(1000)]).map(({task}) => task.slice(0, 16))).toInclude(createJob(3, []).jobId);
	});
});

describe('calls that were meant for the former process of a worker', () => {
	/** Guards against late calls that renew leases, start tasks and acknowledge ends at the new process. */
	it('have a lower fencing token than those for the new one, and a higher one than those of earlier leaders', () => {
		const host = HandDrivenHost.create();
		const [before] = listPolls(endTask(host));
		const after = listPolls([...host.answerPoll('w1', {answerBornAt: nextBornAt}), ...host.tick(200)]).at(-1)!;
		const tokens = [computeWorkerToken(before!.token - 1, {restarts: 5000}), ...[before!, after].map(({token, worker}) => computeWorkerToken(token, worker))];
		expect(tokens).toEqual(tokens.toSorted((a, b) => a - b));
		expect(new Set(tokens).size).toEqual(3);
	});

	/** Guards against a record of restarts that grows as long as the host's process lasts. */
	it('are told from those of a later term by its token alone: the restarts are counted anew', () => {
		const host = restartAtAcknowledgement();
		const before = listPolls(host.effects).at(-1)!;
		host.dispatch({
			type: 'commit/ended', outcome: 'fenced', sequence: 0, token: host.token,
		});
		host.takeLeadership([createProgress(5, createJob(9, []), [])], createConfig({}, 2));
		expect(host.state.workerRestarts.size).toEqual(0);
		expect(computeWorkerToken(host.token, {restarts: 0}) > computeWorkerToken(before.token, before.worker)).toEqual(true);
	});

	/** Guards against a leader that gives up because the new process refuses its own earlier calls. */
	it('do not end the lead when the new process refuses them', () => {
		const host = restartAtAcknowledgement();
		host.answerPoll('w1', {bornAt: 1, outcome: 'fenced'});
		expect(host.state.leadership.role).toEqual('leader');
		host.answerPoll('w1', {bornAt: nextBornAt, outcome: 'fenced'});
		expect(host.state.leadership.role).not.toEqual('leader');
	});
});
