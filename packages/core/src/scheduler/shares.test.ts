/** Shares of client accounts: which jobs are excess, and whose step goes first. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createAccountConfig, HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {listAccountShares} from './shares.js';
import type {JobDefinition} from './types.js';

/** A leader with one worker that holds 32 of the model's tasks and has read all jobs so far. */
function lead(weights: Readonly<Record<string, number>>): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership([], createAccountConfig(weights));
	readJobs(host, []);
	host.addWorkers('w1');
	return host;
}

function readJobs(host: HandDrivenHost, jobs: readonly JobDefinition[]) {
	return host.dispatch({type: 'intake/read', records: jobs.map(job => ({type: 'job', job})), completeAt: host.now});
}

function createJobs(account: string, first: number, count: number): JobDefinition[] {
	return Array.from({length: count}, (_, index) => createJob(first + index, [createStep({count: 1})], {account}));
}

const countExcess = ({state}: HandDrivenHost) => [...state.jobs.values()].filter(({isExcess}) => isExcess).length;

/** How many tasks of each account have a worker. */
function countPlaced({state}: HandDrivenHost): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {step} of state.workers.get('w1')!.tasks.values()) {
		const account = step.occurrence.job.definition.account ?? '';
		counts[account] = (counts[account] ?? 0) + 1;
	}

	return counts;
}

describe('the rate of an account', () => {
	// Guards against: jobs within the weight that count as excess, and a burst that never ends.
	it('admits a burst of one second and then the weight', () => {
		const host = lead({a: 10});
		readJobs(host, createJobs('a', 1, 30));
		expect(countExcess(host)).toEqual(20);
		for (let second = 1; second <= 5; second++) {
			host.now += 1000;
			readJobs(host, createJobs('a', 100 * second, 10));
		}

		expect(countExcess(host)).toEqual(20);
	});

	// Guards against: all jobs of a fleet marked by each host that starts, or that reads in larger steps than a second.
	it('marks neither the jobs that a starting host loads nor those of a long pause between reads', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership([], createAccountConfig({a: 10}));
		host.submit(createJobs('a', 1, 1)[0]!);
		readJobs(host, createJobs('a', 100, 500));
		host.now += 4000;
		readJobs(host, createJobs('a', 1000, 40));
		expect(countExcess(host)).toEqual(0);
	});
});

describe('the order over accounts', () => {
	// Guards against: an account that starves behind another's thousand jobs, and one that is held to its share while capacity is idle.
	it('serves accounts by weight, whatever they send, and gives unused shares away', () => {
		const host = lead({a: 3000, b: 1000, c: 1000});
		readJobs(host, [...createJobs('b', 1, 1000), ...createJobs('a', 2000, 100)]);
		host.tick(100);
		expect(countPlaced(host)).toEqual({a: 24, b: 8});

		const alone = lead({a: 3000, b: 1000, c: 1000});
		readJobs(alone, createJobs('b', 1, 100));
		alone.tick(100);
		expect(countPlaced(alone)).toEqual({b: 32});
		expect(listAccountShares(alone.state, 1).map(({account, share}) => [account, share])).toEqual([['b', 0.001], ['other', 0]]);
	});

	// Guards against: excess jobs that take capacity from others that wait, also from accounts with more in use.
	it('places excess jobs after all others', () => {
		const host = lead({a: 1000, b: 20});
		host.state.arrivalBuckets.set('a', {tokens: 0, updatedAt: host.now});
		readJobs(host, [...createJobs('a', 1, 40), ...createJobs('b', 100, 20)]);
		host.tick(100);
		expect(countPlaced(host)).toEqual({a: 12, b: 20});
	});

	// Guards against: another order than before where the operators keep no accounts.
	it('is the order of arrival without accounts', () => {
		const host = lead({});
		const jobs = [...createJobs('a', 1, 20), ...createJobs('b', 100, 20), ...createJobs('a', 200, 20)];
		const starts = listStarts([...readJobs(host, jobs), ...host.tick(100)]);
		expect(starts.map(({task}) => task.split('.')[0])).toEqual(jobs.slice(0, starts.length).map(({jobId}) => jobId));
	});
});
