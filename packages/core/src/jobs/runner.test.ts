/** Tests of the job runner: displacement without losing a run, refused starts and cancels. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createState, reduce} from '../engine/reduce.js';
import type {Effect} from '../types/effects.js';
import {listedHostSchema} from '../types/hosts.js';
import type {
	AvailabilityZone, HostId, Incarnation, JobId,
} from '../types/ids.js';
import {logRecordSchema} from '../types/records.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';
import {listedTaskSchema} from './tasks.js';

const cores = 4;
const leaseMs = 10_000;

/** An entry host that is the planner, with one worker of four cores. */
class TestPlanner {
	static create(hostId: string): TestPlanner {
		return new TestPlanner(hostId);
	}

	readonly state: State;
	private now = 1000;

	private constructor(hostId: string) {
		this.state = createState({
			self: {hostId: hostId as HostId, availabilityZone: 'a' as AvailabilityZone, address: '127.0.0.1:1'},
			incarnation: `${hostId}-1` as Incarnation,
			peers: [],
			routingPolicy: 'steward',
			seed: 3,
		});
		const worker = listedHostSchema.parse({
			hostId: 'worker-1', role: 'worker', availabilityZone: 'a', address: '127.0.0.1:2', state: 'live', cores, memoryBytes: 1e9, accelerators: 0,
		});
		reduce(this.state, {type: 'hosts/listed', at: this.now as Instant, hosts: [worker]});
	}

	append(schema: string, body: unknown): void {
		const offset = this.state.fleet.nextOffset;
		const record = logRecordSchema.parse({
			recordId: `r${offset}`, schema, version: 1, body,
		});
		reduce(this.state, {
			type: 'log/read', at: this.now as Instant, firstOffset: 0 as Offset, nextOffset: (offset + 1) as Offset, records: [{offset, at: this.now as Instant, record}],
		});
	}

	takeLease(term: number, hostId: string = this.state.settings.self.hostId): void {
		this.append('planner-lease', {
			holder: hostId, incarnation: `${hostId}-1`, term, deadline: this.now + leaseMs,
		});
	}

	/** Lets some time pass while the platform lists the roster's task and others with these properties. Returns the effects. */
	pass(milliseconds: number, ...tasks: ReadonlyArray<{readonly state: string; readonly checkpointMs: number; readonly taskId?: string; readonly usage?: unknown}>): Effect[] {
		const effects: Effect[] = [];
		const listed = tasks.map(task => listedTaskSchema.parse({
			taskId: 'roster', attempt: 1, hostId: 'worker-1', leaseUntil: 60_000, throttle: 1, usage: {cores, memoryBytes: 1}, reportedAt: this.now, ...task,
		}));
		for (const until = this.now + milliseconds; this.now < until;) {
			this.now += 50;
			reduce(this.state, {type: 'tasks/listed', at: this.now as Instant, tasks: listed});
			effects.push(...reduce(this.state, {type: 'clock/ticked', at: this.now as Instant}));
		}

		return effects;
	}

	/** Receives the platform's answer to a checkpoint call for the roster's task. */
	answerCheckpoint(checkpointMs: number): void {
		reduce(this.state, {
			type: 'task/told', at: this.now as Instant, jobId: 'roster' as JobId, task: {attempt: 1, state: 'running', checkpointMs},
		});
	}

	wait(milliseconds: number): void {
		this.now += milliseconds;
	}

	/** Lets some time pass while the platform lists no task. Returns the effects. */
	passWithoutTasks(): Effect[] {
		this.now += 200;
		reduce(this.state, {type: 'tasks/listed', at: this.now as Instant, tasks: []});
		return reduce(this.state, {type: 'clock/ticked', at: this.now as Instant});
	}

	/** Refuses the start call for the roster's attempt, and lets the runner handle that. */
	refuseStart(): void {
		this.passWithoutTasks();
		this.answerStart('refused');
		this.passWithoutTasks();
	}

	answerStart(answer: 'refused' | 'unknown'): void {
		reduce(this.state, {
			type: 'task/start-answered', at: this.now as Instant, jobId: 'roster' as JobId, attempt: 1, answer,
		});
	}

	listProposedEnds(): unknown[] {
		return [...this.state.log.pending.values()].map(({record}) => record).filter(({schema}) => schema === 'job-attempt-end').map(({body}) => body);
	}
}

/** Creates the roster's first attempt, by a planner in term 1. */
function startRoster(planner: TestPlanner, leaseHolder: string = planner.state.settings.self.hostId): void {
	planner.append('pool', {pool: 'rosters', minimumHealthyHosts: 0});
	planner.append('host', {
		hostId: 'worker-1', pool: 'rosters', availabilityZone: 'a', rack: 'rack-1',
	});
	planner.takeLease(1, leaseHolder);
	planner.append('job', createJob('roster', 'batch'));
	planner.append('job-attempt', {
		jobId: 'roster', attempt: 1, worker: 'worker-1', leaseUntil: 60_000, term: 1,
	});
}

function createJob(jobId: string, jobClass: string) {
	return {
		jobId, pool: 'rosters', team: 'dispatch', jobClass, cores, memoryBytes: 1, declaredRunMs: 60_000, allowedRuns: 1, isResumable: jobClass === 'batch',
	};
}

function listTaskCalls(effects: readonly Effect[]): string[] {
	return effects.map(effect => effect.type).filter(type => type === 'task/checkpoint' || type === 'task/stop');
}

describe('a task displaced by urgent work', () => {
	it('is checkpointed, repeatedly if calls are lost, and stopped only once the checkpoint is listed', () => {
		const planner = TestPlanner.create('entry-1');
		startRoster(planner);
		planner.append('job', createJob('warning', 'urgent'));
		const before = listTaskCalls(planner.pass(1800, {state: 'running', checkpointMs: 0}));
		expect([before.includes('task/checkpoint'), before.includes('task/stop')]).toEqual([true, false]);
		expect(before.length).toBeGreaterThanOrEqual(2);
		expect(listTaskCalls(planner.pass(1500, {state: 'running', checkpointMs: 700})).includes('task/stop')).toEqual(true);
	});

	it('keeps running if the urgent job could not be placed there because the worker is quarantined', () => {
		const planner = TestPlanner.create('entry-1');
		startRoster(planner);
		planner.append('worker-set-aside', {worker: 'worker-1', until: 1_000_000, term: 1});
		planner.append('job', createJob('warning', 'urgent'));
		expect(listTaskCalls(planner.pass(1800, {state: 'running', checkpointMs: 0}))).toEqual([]);
	});

	it('that resumed from a checkpoint is stopped only once a newer one is listed', () => {
		const planner = TestPlanner.create('entry-1');
		startRoster(planner);
		planner.append('job', createJob('warning', 'urgent'));
		const before = listTaskCalls(planner.pass(1800, {state: 'running', checkpointMs: 700}));
		expect([before.includes('task/checkpoint'), before.includes('task/stop')]).toEqual([true, false]);
		expect(listTaskCalls(planner.pass(1500, {state: 'running', checkpointMs: 900})).includes('task/stop')).toEqual(true);
	});

	it('is stopped as soon as the platform answers with a newer checkpoint, though the list does not show it yet', () => {
		const planner = TestPlanner.create('entry-1');
		const listed = {state: 'running', checkpointMs: 700};
		startRoster(planner);
		planner.append('job', createJob('warning', 'urgent'));
		expect(listTaskCalls(planner.pass(200, listed))).toEqual(['task/checkpoint']);
		planner.answerCheckpoint(700);
		expect(listTaskCalls(planner.pass(150, listed))).toEqual([]);
		planner.answerCheckpoint(701);
		expect(listTaskCalls(planner.pass(150, listed))).toEqual(['task/stop']);
	});

	it('loses no run, even if another planner takes over before the outcome is recorded', () => {
		const planner = TestPlanner.create('entry-2');
		startRoster(planner);
		planner.pass(300, {state: 'stopped', checkpointMs: 700});
		expect(planner.listProposedEnds()).toEqual([{
			jobId: 'roster', attempt: 1, end: 'checkpointed', term: 1,
		}]);
	});
});

describe('a resumable task on a host in a planned outage', () => {
	it('keeps running while a non-resumable task runs there, and is displaced after that', () => {
		const planner = TestPlanner.create('entry-1');
		startRoster(planner);
		planner.append('job', createJob('replan', 'normal'));
		planner.append('job-attempt', {
			jobId: 'replan', attempt: 1, worker: 'worker-1', leaseUntil: 60_000, term: 1,
		});
		planner.append('wave', {
			waveId: 'wave', pool: 'rosters', finishBy: 1_000_000, drainLimitMs: 60_000, weights: {rollOutTime: 1, bufferCost: 1},
		});
		planner.append('outage-grant', {
			hostId: 'worker-1', waveId: 'wave', term: 1, operationId: 'wave.worker-1.1', drainDeadline: 60_000,
		});
		const roster = {state: 'running', checkpointMs: 0};
		expect(listTaskCalls(planner.pass(1000, roster, {taskId: 'replan', state: 'running', checkpointMs: 0}))).toEqual([]);
		expect(listTaskCalls(planner.pass(500, roster, {taskId: 'replan', state: 'succeeded', checkpointMs: 0})).includes('task/checkpoint')).toEqual(true);
	});
});

describe('a start that a worker refused', () => {
	it('counts as no run if the calling planner also created the attempt', () => {
		const planner = TestPlanner.create('entry-3');
		startRoster(planner);
		planner.refuseStart();
		expect(planner.listProposedEnds()).toEqual([{
			jobId: 'roster', attempt: 1, end: 'unstarted', term: 1,
		}]);
	});

	it('does not end an attempt of an earlier planner, whose own call may still arrive', () => {
		const planner = TestPlanner.create('entry-4');
		startRoster(planner, 'entry-9');
		planner.wait(leaseMs);
		planner.takeLease(2);
		planner.refuseStart();
		expect(planner.listProposedEnds()).toEqual([]);
	});
});

describe('a task that uses more memory than it declares', () => {
	it('keeps running while it is alone on its worker', () => {
		const planner = TestPlanner.create('entry-5');
		startRoster(planner);
		const effects = planner.pass(2500, {state: 'running', checkpointMs: 0, usage: {cores, memoryBytes: 1e9}});
		expect(listTaskCalls(effects)).toEqual([]);
	});
});

describe('a cancel that comes before the start', () => {
	it('ends the attempt as unstarted, and the task is not started', () => {
		const planner = TestPlanner.create('entry-6');
		startRoster(planner);
		planner.append('job-cancel', {jobId: 'roster'});
		const effects = planner.passWithoutTasks();
		expect(effects.filter(effect => effect.type === 'task/start')).toEqual([]);
		expect(planner.listProposedEnds()).toEqual([{
			jobId: 'roster', attempt: 1, end: 'unstarted', term: 1,
		}]);
	});

	it('prevents the retry of a start call whose answer was lost', () => {
		const planner = TestPlanner.create('entry-7');
		startRoster(planner);
		planner.passWithoutTasks();
		planner.answerStart('unknown');
		planner.append('job-cancel', {jobId: 'roster'});
		planner.wait(2000);
		expect(planner.passWithoutTasks().filter(effect => effect.type === 'task/start')).toEqual([]);
		expect(planner.listProposedEnds()).toEqual([]);
	});
});
