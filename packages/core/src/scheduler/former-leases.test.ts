/** TWICE: calls meant for a worker's former process may have given the present one the longest lease; nothing forgets that, whichever way the worker goes. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	tickMs, youngClockMs, pollTimeoutMs, extraPollTimeoutMs, longestLeaseMs, job, earlierJob, cutOff, createRunning, createLeader, list, answerAs, skipPollOfFirstProcess, answerAsNextProcess, startTaskAt, waitForStartElsewhere,
} from './testing/former-process.js';
import {createWorker, HandDrivenHost, listStarts} from './testing/hand-driven.js';

describe('a process that may hold a lease meant for a former one', () => {
	/** Guards against two runs after two restarts in a row: the second one makes the leader forget the calls meant for the first process. */
	it('keeps its run for the longest lease if its worker has restarted twice', () => {
		const host = createLeader();
		const lostAt = skipPollOfFirstProcess(host);
		answerAsNextProcess(host, 1);
		list(host, [createWorker('w1', {bornAt: 3})]);
		host.tick(100);
		// The lost poll reaches process 3 just before the first call that was meant for it.
		const carriedOutAt = host.now;
		expect(carriedOutAt - lostAt).toBeLessThan(2000);
		const task = startTaskAt(host, 3);
		expect(waitForStartElsewhere(host, 3, task) - carriedOutAt).toBeGreaterThanOrEqual(longestLeaseMs);
	});

	/** Guards against two runs after a worker has been missing from the registry: with it the leader forgets the calls meant for its former process. */
	it('keeps its run for the longest lease if its worker was not listed for a while', () => {
		const host = createLeader();
		const lostAt = skipPollOfFirstProcess(host);
		answerAsNextProcess(host, 1);
		list(host, []);
		host.answerPoll('w1', {bornAt: 2, outcome: 'unknown', answerBornAt: undefined});
		host.tick(100);
		list(host, [createWorker('w1', {bornAt: 2})]);
		host.tick(100);
		const carriedOutAt = host.now;
		expect(carriedOutAt - lostAt).toBeLessThan(2000);
		const task = startTaskAt(host, 2);
		expect(waitForStartElsewhere(host, 2, task) - carriedOutAt).toBeGreaterThanOrEqual(longestLeaseMs);
	});

	/** Guards against two runs of a task that a new leader itself starts: calls of its predecessor have given the young process the longest lease. */
	it('keeps the run that a new leader begins there for the longest lease', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership([{offset: 0, record: {type: 'lease', lease: {holder: 'former', token: 1, isReleased: false}}}]);
		list(host, [createWorker('w1', {bornAt: 2})]);
		host.tick(100);
		const carriedOutAt = host.now;
		const task = startTaskAt(host, 2);
		expect(waitForStartElsewhere(host, 2, task) - carriedOutAt).toBeGreaterThanOrEqual(longestLeaseMs);
	});

	/** Guards against two runs if a poll that renews leases is lost after an answer has shown a new process: the longest lease counts from that answer on. */
	it('keeps its run for the longest lease from the end of a poll that was on its way when it answered a start', () => {
		const host = createLeader();
		const [first] = listStarts([...host.submit(earlierJob), ...host.tick(tickMs)]);
		answerAs(host, first!, 1, host.now);
		host.now++;
		const sent = host.answerPoll('w1', {running: [createRunning(first!.task, 1)]});
		expect(sent.some(effect => effect.type === 'worker/poll' && effect.untilMs !== undefined)).toEqual(true);
		const sentAt = host.now;
		const [start] = listStarts([...host.submit(job), ...host.tick(tickMs)]);
		// So many workers are cut off that the tasks are not suspected.
		list(host, ['w1', ...cutOff].map(id => createWorker(id)));
		for (const id of cutOff) {
			host.answerPoll(id);
			host.answerPoll(id, {outcome: 'unknown', answerBornAt: undefined});
		}

		// Process 2 has begun the run; from here on no answer of it arrives.
		answerAs(host, start!, 1, youngClockMs);
		host.tick(extraPollTimeoutMs);
		host.answerPoll('w1', {outcome: 'unknown', answerBornAt: undefined, isExtra: true});
		// Process 2 carries the poll out at the end of its time.
		host.tick(sentAt + pollTimeoutMs - tickMs - host.now);
		const carriedOutAt = host.now;
		host.tick(tickMs);
		host.answerPoll('w1', {outcome: 'unknown', answerBornAt: undefined, sentAt});
		expect(waitForStartElsewhere(host, 1, start!.task) - carriedOutAt).toBeGreaterThanOrEqual(longestLeaseMs);
	});
});
