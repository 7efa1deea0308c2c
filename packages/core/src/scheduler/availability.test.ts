/** AVAIL: an order of the leader ends no long-running task that is at work while as many others of its step as may be unavailable are away, for any cause. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-jobs.js';
import {createMachineEntry, createWorkerEntry, ModelLeader} from './testing/model-leader.js';
import {modelSettings} from './testing/model-settings.js';
import type {WorkerEntry} from './types.js';

const ids = ['1', '2', '3', '4'];
const workers = ids.map(id => createWorkerEntry(`w${id}`, `m${id}`));
const machines = ids.map(id => createMachineEntry(`m${id}`, {workerId: `w${id}`}));
/** Has no task at first. */
const spareWorkerId = 'w4';
const tasks = 3;
const maxUnavailable = 1;
const startUpMs = 300;
const atWork = 100;
const job = createJob(1, [createStep({
	count: tasks, maxPerWorker: 1, maxUnavailable, isLongRunning: true, estimateMs: 600_000,
})]);

/** Runs a leader and judges each end of a run that is at work by what the others do at that moment. */
class JudgedLeader {
	static create(): JudgedLeader {
		return new JudgedLeader(ModelLeader.create());
	}

	readonly violations: string[] = [];
	/** Runs that the leader has ended while they were at work. */
	ended = 0;
	/** Tasks that never get to work. */
	readonly stuckTasks = new Set<string>();
	private readonly changes: Record<string, Partial<WorkerEntry> | undefined> = {};
	private readonly startedAt = new Map<string, number>();
	private handledOrders = 0;
	/** When machines come back from upkeep, with a new incarnation of their worker. */
	private readonly returns = new Map<string, number>();

	private constructor(readonly leader: ModelLeader) {}

	run(forMs: number): void {
		const {leader} = this;
		for (const end = leader.now + forMs; leader.now < end;) {
			this.advanceRuns();
			this.advanceMachines();
			const before = this.listAtWork();
			leader.run(5);
			const rows = [...leader.running.values()].flat();
			const ended = before.filter(({task, run}) => !rows.some(row => row.task === task && row.run === run));
			this.ended += ended.length;
			const away = tasks - before.length;
			if (ended.length > 0 && away + ended.length > maxUnavailable) {
				this.violations.push(`${leader.now}: ${ended.map(({task}) => task).join(' ')} ended while ${away} others were away`);
			}
		}
	}

	/** Ends all runs of a worker, as if it had crashed. */
	clearWorker(id: string): void {
		this.leader.running.set(id, []);
	}

	/** The task that runs on a worker. */
	findTask(workerId: string): string {
		return this.leader.running.get(workerId)![0]!.task;
	}

	/** Names the workers that run something, and on which of them a task is at work. */
	listAtWork() {
		return [...this.leader.running].flatMap(([workerId, rows]) => rows
			.filter(({percent}) => percent === atWork && !this.leader.unreachableWorkers.has(workerId))
			.map(({task, run}) => ({workerId, task, run})));
	}

	/** Lists machines and workers, from now on with changes of some workers; one without an entry is gone. */
	listFleet(changes: Record<string, Partial<WorkerEntry> | undefined> = {}): void {
		const {leader, returns} = this;
		Object.assign(this.changes, changes);
		const isDown = (machineId: string) => (returns.get(machineId) ?? 0) >= leader.now;
		leader.listMachines(machines.map(machine => isDown(machine.id) ? {...machine, state: 'upkeep', workerId: undefined} : machine));
		leader.listWorkers(...workers
			.filter(({id, machineId}) => !isDown(machineId!) && !(id in this.changes && this.changes[id] === undefined))
			.map(worker => ({...worker, ...this.changes[worker.id], ...(returns.has(worker.machineId!) && {bornAt: 3})})));
	}

	/** Carries out orders at once; a machine is back when its upkeep is done. */
	private advanceMachines(): void {
		const {leader, returns} = this;
		const order = leader.orders[this.handledOrders];
		if (order) {
			this.handledOrders++;
			returns.set(order.machineId, leader.now + modelSettings.upkeepMs);
			leader.running.delete(`w${order.machineId.slice(1)}`);
			leader.endOrder(order, 'done');
			this.listFleet();
		}

		if ([...returns.values()].some(at => at < leader.now && at >= leader.now - 5)) {
			this.listFleet();
		}
	}

	/** Runs get to work some time after their start. */
	private advanceRuns(): void {
		const {leader, startedAt} = this;
		for (const [workerId, rows] of leader.running) {
			leader.running.set(workerId, rows.map(row => {
				const key = `${row.task} ${row.run}`;
				startedAt.set(key, startedAt.get(key) ?? leader.now);
				const isAtWork = !this.stuckTasks.has(row.task) && leader.now - startedAt.get(key)! >= startUpMs;
				return {...row, percent: isAtWork ? atWork : 0};
			}));
		}
	}
}

/** A leader of four workers; the step's three tasks are at work on the first three of them. */
function createLeader(): JudgedLeader {
	const judged = JudgedLeader.create();
	const {leader} = judged;
	judged.run(50);
	leader.listMachines(machines);
	leader.listWorkers(...workers);
	judged.run(50);
	leader.push({type: 'intake/read', records: [{type: 'job', job}]});
	judged.run(2000);
	expect(judged.listAtWork().length).toEqual(tasks);
	return judged;
}

/** Upkeep of all machines; its deadline is so near that tasks are moved even without room elsewhere. */
function startWave({leader}: JudgedLeader): void {
	leader.publishWave({machineIds: machines.map(({id}) => id), maxDown: machines.length, deadlineS: 3});
}

type Cause = {readonly name: string; readonly apply: (judged: JudgedLeader, workerId: string) => void};

const causes: readonly Cause[] = [
	{
		name: 'its worker is out of reach',
		apply(judged, workerId) {
			judged.leader.unreachableWorkers.add(workerId);
			// Else the task runs there once the lease has expired.
			judged.listFleet({[spareWorkerId]: undefined});
		},
	},
	{
		name: 'its worker is gone and there is no room elsewhere',
		apply(judged, workerId) {
			judged.clearWorker(workerId);
			judged.listFleet({[workerId]: undefined, [spareWorkerId]: undefined});
		},
	},
	{
		name: 'its run has ended and does not get to work again',
		apply(judged, workerId) {
			judged.stuckTasks.add(judged.findTask(workerId));
			judged.clearWorker(workerId);
		},
	},
	{
		name: 'its worker has come back as another incarnation, without it',
		apply(judged, workerId) {
			judged.stuckTasks.add(judged.findTask(workerId));
			judged.clearWorker(workerId);
			judged.listFleet({[workerId]: {bornAt: 2}});
		},
	},
	{
		name: 'its run has ended, and its worker and the only other one have shrunk',
		apply(judged, workerId) {
			const capacity = {cpu: 0, memoryMb: 0, gpu: 0};
			judged.listFleet({[workerId]: {capacity}, [spareWorkerId]: {capacity}});
			judged.clearWorker(workerId);
		},
	},
];

describe('upkeep of all machines of a step that may miss one task', () => {
	it('moves its tasks one after the other', () => {
		const judged = createLeader();
		startWave(judged);
		judged.run(15_000);
		expect(judged.violations).toEqual([]);
		expect(new Set(judged.leader.listOrderedMachines()).size).toEqual(machines.length);
		expect(judged.ended).toEqual(tasks);
		expect(judged.listAtWork().length).toEqual(tasks);
	});

	for (const {name, apply} of causes) {
		it(`ends no task while one is away because ${name}`, () => {
			const judged = createLeader();
			const [workerId] = [...judged.leader.running.keys()];
			apply(judged, workerId!);
			// As long as the leader needs to hear of it.
			judged.run(1500);
			startWave(judged);
			judged.run(6000);
			expect({violations: judged.violations, ended: judged.ended}).toEqual({violations: [], ended: 0});
		});
	}

	it('ends no task under a new leader that has not heard of all of them', () => {
		const judged = createLeader();
		const {leader} = judged;
		const [workerId] = [...leader.running.keys()];
		const progress = leader.records.findLast(record => record.type === 'progress');
		leader.push({type: 'commit/ended', outcome: 'fenced', sequence: 0});
		leader.unreachableWorkers.add(workerId!);
		leader.push({type: 'ledger/loaded', entries: [{offset: 8, record: progress!}], nextOffset: 9});
		leader.takeLeadership(9);
		leader.listWorkers(...workers);
		leader.listMachines(machines);
		startWave(judged);
		judged.run(3000);
		expect({violations: judged.violations, ended: judged.ended}).toEqual({violations: [], ended: 0});
	});
});

describe('a start of a step that may miss one task, which was not answered', () => {
	/** Guards against stopping a run that is at work, unheard, while another of its step is away. */
	it('is not stopped unheard while another task is away', () => {
		const judged = createLeader();
		const {leader} = judged;
		const [first, second] = [...leader.running.keys()];
		judged.stuckTasks.add(judged.findTask(first!));
		judged.clearWorker(first!);
		judged.run(1000);
		// The other task must start at a worker from which nothing is heard for a while, though orders arrive there.
		const task = judged.findTask(second!);
		const silent = workers.filter(({id}) => (leader.running.get(id) ?? []).length === 0);
		judged.listFleet({[second!]: {isDraining: true, remainingMs: 60_000}});
		for (const {id} of silent) {
			leader.pollDelaysMs.set(id, 1200);
		}

		leader.areStartAnswersLost = true;
		judged.clearWorker(second!);
		judged.run(2500);
		leader.pollDelaysMs.clear();
		judged.run(2500);
		const isFound = judged.listAtWork().some(row => row.task === task);
		expect({violations: judged.violations, isFound}).toEqual({violations: [], isFound: true});
	});
});
