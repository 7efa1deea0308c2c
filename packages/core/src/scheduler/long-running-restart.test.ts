/** Long-running tasks run again soon after a failure, also on workers that hold others. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {EndedRow, RunningRow, TaskName} from './types.js';

type Start = EffectOf<'worker/start'>;

/** Workers that carry out every start at once and report what runs; a test ends runs. */
class Workers {
	static create(host: HandDrivenHost, ids: readonly string[]): Workers {
		return new Workers(host, ids);
	}

	readonly starts: Start[] = [];
	/** What runs that start from now on report: 100 once they are at work. */
	percent = 100;
	private readonly running = new Map<string, RunningRow[]>();
	private readonly ended = new Map<string, EndedRow[]>();

	private constructor(private readonly host: HandDrivenHost, private readonly ids: readonly string[]) {
		for (const id of ids) {
			this.running.set(id, []);
			this.ended.set(id, []);
		}
	}

	/** Carries out starts, and lets time pass with a report of each worker every 25 ms. */
	run(forMs: number, starts: readonly Start[] = []): void {
		let next = starts;
		for (const end = this.host.now + forMs; this.host.now < end;) {
			for (const start of next) {
				this.carryOut(start);
			}

			next = listStarts([...this.ids.flatMap(id => this.host.answerPoll(id, {running: this.running.get(id)!, ended: this.ended.get(id)!})), ...this.host.tick()]);
		}
	}

	/** Ends the run of a task as failed; returns the worker's id. */
	fail(task: TaskName): string {
		const [id, rows] = [...this.running].find(([, list]) => list.some(row => row.task === task))!;
		const row = rows.find(candidate => candidate.task === task)!;
		this.running.set(id, rows.filter(candidate => candidate !== row));
		const ended = this.ended.get(id)!;
		ended.push({
			number: ended.length + 1, task, run: row.run, how: 'failed', checkpoint: '',
		});
		return id;
	}

	/** How many runs of a task were started. */
	countStarts(task: TaskName): number {
		return this.starts.filter(start => start.task === task).length;
	}

	countRunning(id: string): number {
		return this.running.get(id)!.length;
	}

	/** The tasks that run on a worker, those of the first job first. */
	listTasks(id: string): TaskName[] {
		return this.running.get(id)!.map(({task}) => task);
	}

	private carryOut(start: Start): void {
		this.starts.push(start);
		this.host.answerStart(start);
		const {worker, task, run} = start;
		this.running.set(worker.id, [...this.running.get(worker.id)!, {
			task, run, checkpoint: '', percent: this.percent, reading: 0,
		}]);
	}
}

const ids = ['w1', 'w2', 'w3'];

/** A leader with a job of six long-running tasks on three workers, two on each at most. */
function createFleet(): {readonly host: HandDrivenHost; readonly workers: Workers} {
	const host = HandDrivenHost.create();
	host.takeLeadership([], createConfig());
	host.addWorkers(...ids);
	const workers = Workers.create(host, ids);
	for (const number of [1, 2]) {
		workers.run(300, listStarts(host.submit(createJob(number, [createStep({count: 6, isLongRunning: true, maxPerWorker: 2})]))));
	}

	return {host, workers};
}

describe('a long-running task that failed', () => {
	/** Guards against tasks that wait for good, as their worker stays suspect and holds other tasks that run well. */
	it('runs again on the only worker with room for it, although that worker holds other tasks', () => {
		const {workers} = createFleet();
		expect(ids.map(id => workers.countRunning(id))).toEqual([4, 4, 4]);
		const task = workers.listTasks('w1')[0]!;
		expect(workers.fail(task)).toEqual('w1');
		workers.run(1000);
		expect(workers.countStarts(task)).toEqual(2);
	});

	/** Guards against suspicion that only a run that ends as done could clear, as long-running tasks never end so. */
	it('leaves its worker unsuspected once another one is at work there', () => {
		const {workers, host} = createFleet();
		workers.fail(workers.listTasks('w1')[0]!);
		workers.run(4000);
		workers.run(300, listStarts(host.submit(createJob(3, [createStep({count: 9, isLongRunning: true, maxPerWorker: 3})]))));
		expect(ids.map(id => workers.countRunning(id))).toEqual([7, 7, 7]);
	});

	/** Guards against a worker that fails all it starts and draws task after task. */
	it('does not draw more than a few tasks at a time to a worker that keeps failing them', () => {
		const {workers, host} = createFleet();
		workers.percent = 0;
		const before = workers.starts.length;
		const [first, second] = workers.listTasks('w1');
		workers.fail(first!);
		workers.fail(second!);
		workers.run(50);
		workers.run(1000, listStarts(host.submit(createJob(3, [createStep({count: 12, isLongRunning: true})]))));
		const started = workers.starts.slice(before);
		expect(started.length).toEqual(14);
		expect(started.filter(start => start.worker.id === 'w1').length).toEqual(2);
	});
});
