/** Demand for machines where the leader reads jobs late and many at once: from a slow store, or just after it took the lead. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {getDemand, updateDemand} from './demand.js';
import {noResources} from './resources.js';
import {HandDrivenHost} from './testing/hand-driven.js';
import {createJob, createStep, poolName} from './testing/model-jobs.js';

const machine = {cpu: 8000, memoryMb: 100_000, gpu: 0};
const stepMs = 50;
const updateMs = 150;
const settledMs = 3000;
/** One job each `stepMs` keeps 60 cores busy, which is 7.5 machines; the need for them is higher by the shares kept for peaks. */
const step = createStep({count: 3, need: {cpu: 2000, memoryMb: 100, gpu: 0}, estimateMs: 500});

/** A host to whose only pool jobs come at a constant rate. No task waits in the demand: only arrivals count. */
class ArrivingLoad {
	static create(): ArrivingLoad {
		return new ArrivingLoad();
	}

	readonly host = HandDrivenHost.create();
	/** The needs of the pool, in machines, at each update since they were last taken. */
	private needs: number[] = [];
	private jobs = 0;
	private unread = 0;

	/** Lets jobs arrive for some time, which the host reads at this interval; returns the needs. */
	run(forMs: number, readIntervalMs: number): number[] {
		const {host} = this;
		for (let spentMs = stepMs; spentMs <= forMs; spentMs += stepMs) {
			host.tick(stepMs);
			this.unread++;
			if (spentMs % readIntervalMs === 0) {
				this.read();
			}

			if (spentMs % updateMs === 0) {
				this.update();
			}
		}

		return this.takeNeeds();
	}

	/** Reads all jobs that have arrived. */
	read(): void {
		const records = Array.from({length: this.unread}, () => ({type: 'job', job: createJob(++this.jobs, [step])} as const));
		this.unread = 0;
		this.host.dispatch({type: 'intake/read', records, completeAt: this.host.now});
	}

	/** Lets a follower that has read what arrived take the lead; jobs go on arriving while it does not read. */
	takeLead(): void {
		const {host} = this;
		this.read();
		const readAt = host.now;
		host.takeLeadership();
		this.unread += Math.floor((host.now - readAt) / stepMs);
	}

	update(): void {
		const demand = getDemand(this.host.state, poolName);
		demand.waitingWork = noResources;
		demand.waitingTasks = 0;
		this.needs.push(updateDemand(this.host.state, poolName, machine).machines);
	}

	takeNeeds(): number[] {
		const {needs} = this;
		this.needs = [];
		return needs;
	}
}

function findUsualNeed(): number {
	const load = ArrivingLoad.create();
	load.takeLead();
	load.run(settledMs, stepMs);
	return Math.max(...load.run(settledMs, stepMs));
}

/** The need at the first update of a burst, after a lull of 3.5 s in which the store told at this interval that nothing had arrived. */
function findNeedAfterLull(readIntervalMs: number): number {
	const load = ArrivingLoad.create();
	load.takeLead();
	load.read();
	for (let spentMs = stepMs; spentMs <= 3500; spentMs += stepMs) {
		load.host.tick(stepMs);
		if (spentMs % readIntervalMs === 0) {
			load.read();
		}

		if (spentMs % updateMs === 0) {
			load.update();
		}
	}

	load.takeNeeds();
	return load.run(updateMs, stepMs)[0] ?? 0;
}

describe('demand for machines, if jobs arrive at a constant rate', () => {
	it('is somewhat more than what they use, if they are read one by one', () => {
		expect(findUsualNeed()).toBeGreaterThanOrEqual(8);
		expect(findUsualNeed()).toBeLessThanOrEqual(12);
	});

	for (const readIntervalMs of [300, 600, 1200]) {
		/** Guards against jobs of a second that count as if they had arrived within one update. */
		it(`is about the same if a slow store lets the leader read them each ${readIntervalMs} ms`, () => {
			const load = ArrivingLoad.create();
			load.takeLead();
			load.run(settledMs, stepMs);
			const needs = load.run(4 * settledMs, readIntervalMs);
			expect(Math.max(...needs)).toBeLessThanOrEqual(findUsualNeed() * 1.3);
			expect(Math.min(...needs)).toBeGreaterThanOrEqual(findUsualNeed() * 0.7);
		});
	}

	/** Guards against a new leader that takes what it did not read as a follower for a burst. */
	it('is about the same if a new leader reads the jobs of the last second at once', () => {
		const load = ArrivingLoad.create();
		load.takeLead();
		load.host.tick(stepMs);
		load.read();
		load.host.tick(updateMs);
		load.update();
		expect(Math.max(...load.takeNeeds())).toBeLessThanOrEqual(findUsualNeed() * 1.5);
	});

	/** Guards against an outage of the store that is taken for an end of the load, or for a burst when it is over. */
	it('is kept for a second without an answer, and no higher after it', () => {
		const load = ArrivingLoad.create();
		load.takeLead();
		load.run(settledMs, stepMs);
		const before = load.run(settledMs, stepMs).at(-1)!;
		const needs = load.run(1000, 1000);
		expect(Math.min(...needs.slice(0, -1))).toBeGreaterThanOrEqual(before * 0.7);
		expect(Math.max(...needs, ...load.run(settledMs, stepMs))).toBeLessThanOrEqual(before * 1.3);
	});

	/** Guards against a burst whose first jobs count as if they had come over the whole lull: a read that waits for records is answered by the first of them. */
	it('rises as fast in a burst that ends a lull in which the store had nothing to answer', () => {
		expect(findNeedAfterLull(stepMs)).toBeGreaterThanOrEqual(3);
		expect(findNeedAfterLull(900)).toBeGreaterThanOrEqual(findNeedAfterLull(stepMs) * 0.7);
	});

	it('falls soon after the last arrival', () => {
		const load = ArrivingLoad.create();
		load.takeLead();
		load.run(settledMs, stepMs);
		for (let spentMs = 0; spentMs < 2000; spentMs += updateMs) {
			load.host.tick(updateMs);
			if (spentMs % 900 === 0) {
				load.read();
			}

			load.update();
		}

		expect(load.takeNeeds().at(-1)!).toBeLessThanOrEqual(2);
	});
});
