/** Tests of the job runner: a resumable task gives way to urgent work and loses no run by it. */
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

/** The planner's holder, with one worker of four cores. */
class Holder {
	static create(hostId: string): Holder {
		return new Holder(hostId);
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

	/** Shows the roster's task, and others, as the platform lists them, and lets some time pass. */
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

	/** Takes in what the platform answered to a checkpoint of the roster's task. */
	tellCheckpoint(checkpointMs: number): void {
		reduce(this.state, {
			type: 'task/told', at: this.now as Instant, jobId: 'roster' as JobId, task: {attempt: 1, state: 'running', checkpointMs},
		});
	}

	wait(milliseconds: number): void {
		this.now += milliseconds;
	}

	/** What the runner does while the platform lists no task. */
	passWithoutTasks(): Effect[] {
		this.now += 200;
		reduce(this.state, {type: 'tasks/listed', at: this.now as Instant, tasks: []});
		return reduce(this.state, {type: 'clock/ticked', at: this.now as Instant});
	}

	/** Takes in that the start of the roster's attempt was refused, and lets the runner look at it again. */
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

/** The roster's first attempt is begun by a planner in term 1. */
function startRoster(holder: Holder, planner: string = holder.state.settings.self.hostId): void {
	holder.append('pool', {pool: 'rosters', minimumHealthyHosts: 0});
	holder.append('host', {
		hostId: 'worker-1', pool: 'rosters', availabilityZone: 'a', rack: 'rack-1',
	});
	holder.takeLease(1, planner);
	holder.append('job', createJob('roster', 'batch'));
	holder.append('job-attempt', {
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

describe('a task that gives way to urgent work', () => {
	it('is checkpointed, again if the call was lost, and stopped only once the checkpoint is seen', () => {
		const holder = Holder.create('entry-1');
		startRoster(holder);
		holder.append('job', createJob('warning', 'urgent'));
		const before = listTaskCalls(holder.pass(1800, {state: 'running', checkpointMs: 0}));
		expect([before.includes('task/checkpoint'), before.includes('task/stop')]).toEqual([true, false]);
		expect(before.length).toBeGreaterThanOrEqual(2);
		expect(listTaskCalls(holder.pass(1500, {state: 'running', checkpointMs: 700})).includes('task/stop')).toEqual(true);
	});

	it('goes on where the urgent job could not be placed: its worker is set aside', () => {
		const holder = Holder.create('entry-1');
		startRoster(holder);
		holder.append('worker-set-aside', {worker: 'worker-1', until: 1_000_000, term: 1});
		holder.append('job', createJob('warning', 'urgent'));
		expect(listTaskCalls(holder.pass(1800, {state: 'running', checkpointMs: 0}))).toEqual([]);
	});

	it('that resumed from a checkpoint is stopped only once a newer one is seen', () => {
		const holder = Holder.create('entry-1');
		startRoster(holder);
		holder.append('job', createJob('warning', 'urgent'));
		const before = listTaskCalls(holder.pass(1800, {state: 'running', checkpointMs: 700}));
		expect([before.includes('task/checkpoint'), before.includes('task/stop')]).toEqual([true, false]);
		expect(listTaskCalls(holder.pass(1500, {state: 'running', checkpointMs: 900})).includes('task/stop')).toEqual(true);
	});

	it('is stopped as soon as the platform answers with a newer checkpoint, though the list does not show it yet', () => {
		const holder = Holder.create('entry-1');
		const listed = {state: 'running', checkpointMs: 700};
		startRoster(holder);
		holder.append('job', createJob('warning', 'urgent'));
		expect(listTaskCalls(holder.pass(200, listed))).toEqual(['task/checkpoint']);
		holder.tellCheckpoint(700);
		expect(listTaskCalls(holder.pass(150, listed))).toEqual([]);
		holder.tellCheckpoint(701);
		expect(listTaskCalls(holder.pass(150, listed))).toEqual(['task/stop']);
	});

	it('loses no run, also when another planner has taken over before its end was written down', () => {
		const holder = Holder.create('entry-2');
		startRoster(holder);
		holder.pass(300, {state: 'stopped', checkpointMs: 700});
		expect(holder.listProposedEnds()).toEqual([{
			jobId: 'roster', attempt: 1, end: 'checkpointed', term: 1,
		}]);
	});
});

describe('a resumable task on a host that is out by plan', () => {
	it('runs on while a task runs there that must be let finish, and gives way then', () => {
		const holder = Holder.create('entry-1');
		startRoster(holder);
		holder.append('job', createJob('replan', 'normal'));
		holder.append('job-attempt', {
			jobId: 'replan', attempt: 1, worker: 'worker-1', leaseUntil: 60_000, term: 1,
		});
		holder.append('wave', {
			waveId: 'wave', pool: 'rosters', finishBy: 1_000_000, drainLimitMs: 60_000, weights: {rollOutTime: 1, bufferCost: 1},
		});
		holder.append('outage-grant', {
			hostId: 'worker-1', waveId: 'wave', term: 1, operationId: 'wave.worker-1.1', drainDeadline: 60_000,
		});
		const roster = {state: 'running', checkpointMs: 0};
		expect(listTaskCalls(holder.pass(1000, roster, {taskId: 'replan', state: 'running', checkpointMs: 0}))).toEqual([]);
		expect(listTaskCalls(holder.pass(500, roster, {taskId: 'replan', state: 'succeeded', checkpointMs: 0})).includes('task/checkpoint')).toEqual(true);
	});
});

describe('a start that a worker refused', () => {
	it('counts as no run if the attempt was begun by the planner that called', () => {
		const holder = Holder.create('entry-3');
		startRoster(holder);
		holder.refuseStart();
		expect(holder.listProposedEnds()).toEqual([{
			jobId: 'roster', attempt: 1, end: 'unstarted', term: 1,
		}]);
	});

	it('says nothing of an attempt of an earlier planner, whose own call may still come', () => {
		const holder = Holder.create('entry-4');
		startRoster(holder, 'entry-9');
		holder.wait(leaseMs);
		holder.takeLease(2);
		holder.refuseStart();
		expect(holder.listProposedEnds()).toEqual([]);
	});
});

describe('a task that uses more memory than it declares', () => {
	it('goes on while it is alone on its worker, and hurts no other', () => {
		const holder = Holder.create('entry-5');
		startRoster(holder);
		const effects = holder.pass(2500, {state: 'running', checkpointMs: 0, usage: {cores, memoryBytes: 1e9}});
		expect(listTaskCalls(effects)).toEqual([]);
	});
});

describe('a cancel that comes before the start', () => {
	it('ends the attempt as never run, and the task is not started', () => {
		const holder = Holder.create('entry-6');
		startRoster(holder);
		holder.append('job-cancel', {jobId: 'roster'});
		const effects = holder.passWithoutTasks();
		expect(effects.filter(effect => effect.type === 'task/start')).toEqual([]);
		expect(holder.listProposedEnds()).toEqual([{
			jobId: 'roster', attempt: 1, end: 'unstarted', term: 1,
		}]);
	});

	it('keeps a start whose answer was lost from being called again', () => {
		const holder = Holder.create('entry-7');
		startRoster(holder);
		holder.passWithoutTasks();
		holder.answerStart('unknown');
		holder.append('job-cancel', {jobId: 'roster'});
		holder.wait(2000);
		expect(holder.passWithoutTasks().filter(effect => effect.type === 'task/start')).toEqual([]);
		expect(holder.listProposedEnds()).toEqual([]);
	});
});
