/** A worker that is silent or slow to report for a while keeps its running work. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {createWorkerEntry, ModelLeader} from './testing/model-leader.js';
import {workerLeaseMs} from './timing.js';

const job = createJob(1, [createStep({count: 1})]);
const taskName = `${job.jobId}.0.0.0`;

/** A leader with one worker. */
function createLeader(): ModelLeader {
	const leader = ModelLeader.create();
	leader.run(50);
	leader.listWorkers(createWorkerEntry('w1', 'm1'));
	leader.run(50);
	return leader;
}

/** Starts the job on the first worker, and adds a second one. */
function startJob(leader: ModelLeader): void {
	leader.push({type: 'intake/read', records: [{type: 'job', job}]});
	leader.run(100);
	leader.listWorkers(createWorkerEntry('w1', 'm1'), createWorkerEntry('w2', 'm2'));
}

/** Lets time pass in which the runs get on. */
function runWithProgress(leader: ModelLeader, forMs: number): void {
	for (const end = leader.now + forMs; leader.now < end;) {
		leader.run(100);
		for (const [workerId, rows] of leader.running) {
			leader.running.set(workerId, rows.map(row => ({...row, percent: row.percent + 1})));
		}
	}
}

function listRuns(leader: ModelLeader) {
	return [...leader.running].flatMap(([workerId, rows]) => rows.map(({task, run}) => ({workerId, task, run})));
}

const firstRun = [{workerId: 'w1', task: taskName, run: 1}];

describe('a worker that is slow to report', () => {
	/** Guards against a busy worker whose every answer comes after the time limit, so that its lease lapses and its work is lost. */
	it('keeps its work while its answers take longer than usual', () => {
		const leader = createLeader();
		startJob(leader);
		for (const delayMs of [600, 900, 1400]) {
			leader.pollDelaysMs.set('w1', delayMs);
			runWithProgress(leader, 3 * workerLeaseMs);
			expect(listRuns(leader)).toEqual(firstRun);
			expect(leader.findLogs('lease-lapsed')).toEqual([]);
		}
	});

	/** Guards against a worker that was paused for a moment, whose runs have made no progress in that time and count as stuck. */
	it('keeps its work when it is silent for less than its lease', () => {
		const leader = createLeader();
		startJob(leader);
		runWithProgress(leader, 1000);
		leader.run(50);
		leader.unreachableWorkers.add('w1');
		leader.run(workerLeaseMs - 1500);
		leader.unreachableWorkers.clear();
		leader.run(600);
		runWithProgress(leader, 2 * workerLeaseMs);
		expect(listRuns(leader)).toEqual(firstRun);
	});
});

describe('a start whose answer was lost', () => {
	/** Guards against work that is stopped and run again although it runs. */
	it('is taken for carried out once the worker reports the run', () => {
		const leader = createLeader();
		leader.areStartAnswersLost = true;
		startJob(leader);
		runWithProgress(leader, workerLeaseMs);
		expect(listRuns(leader)).toEqual(firstRun);
		expect([...leader.state.liveJobs][0]?.live?.hasStarted).toEqual(true);
	});

	it('is stopped, and the task started again, if the worker does not report the run', () => {
		const leader = createLeader();
		leader.areStartAnswersLost = true;
		leader.push({type: 'intake/read', records: [{type: 'job', job}]});
		while (leader.running.size === 0) {
			leader.run(5);
		}

		leader.running.clear();
		leader.areStartAnswersLost = false;
		leader.run(1000);
		expect(listRuns(leader)).toEqual([{workerId: 'w1', task: taskName, run: 2}]);
	});
});
