/** How much work a worker draws whose runs fail again and again. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {RunningRow} from './types.js';

const tickMs = 25;
const need = {cpu: 500, memoryMb: 10, gpu: 0};

type FailingRun = {readonly row: RunningRow; readonly failsAt: number};

/** A worker that carries out every start, and at which each run fails some time after its start. */
class FailingWorker {
	static create(host: HandDrivenHost, percent: number, lastsMs: number): FailingWorker {
		return new FailingWorker(host, percent, lastsMs);
	}

	mostRuns = 0;
	private runs: FailingRun[] = [];
	private ends = 0;

	private constructor(private readonly host: HandDrivenHost, private readonly percent: number, private readonly lastsMs: number) {}

	carryOut(starts: ReadonlyArray<EffectOf<'worker/start'>>): void {
		for (const start of starts) {
			const row = {
				task: start.task, run: start.run, checkpoint: '', percent: this.percent, reading: 0,
			};
			this.runs.push({row, failsAt: this.host.now + this.lastsMs + (this.runs.length * tickMs)});
			this.carryOut(listStarts(this.host.answerStart(start)));
		}

		this.mostRuns = Math.max(this.mostRuns, this.runs.length);
	}

	run(forMs: number): void {
		for (const end = this.host.now + forMs; this.host.now < end;) {
			this.carryOut(listStarts(this.host.tick(tickMs)));
			this.report();
		}
	}

	private report(): void {
		const failed = this.runs.filter(({failsAt}) => failsAt <= this.host.now);
		this.runs = this.runs.filter(({failsAt}) => failsAt > this.host.now);
		const ended = failed.map(({row: {task, run}}) => ({
			number: ++this.ends, task, run, how: 'failed' as const, checkpoint: '',
		}));
		this.carryOut(listStarts(this.host.answerPoll('w1', {running: this.runs.map(({row}) => row), ended})));
	}
}

function createHost(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership([], createConfig());
	host.addWorkers('w1');
	return host;
}

describe('a worker at which every run fails', () => {
	/** Guards against a limit that each further failure widens, as runs that began before it no longer count. */
	it('holds at most two runs at a time while it is not set aside', () => {
		const host = createHost();
		const worker = FailingWorker.create(host, 1, 400);
		worker.carryOut(listStarts(host.submit(createJob(1, [createStep({count: 1, need})]))));
		worker.run(600);
		worker.carryOut(listStarts(host.submit(createJob(2, [createStep({count: 100, need})]))));
		worker.run(2000);
		expect(worker.mostRuns).toEqual(2);
	});

	/** Guards against a worker that counts as well again as soon as a long-running run there is at work, although it fails soon after. */
	it('does not count as well again although its long-running runs are at work for a moment', () => {
		const host = createHost();
		const worker = FailingWorker.create(host, 100, 300);
		for (const number of [1, 2, 3]) {
			worker.carryOut(listStarts(host.submit(createJob(number, [createStep({count: 1, need, isLongRunning: true})]))));
			worker.run(200);
		}

		worker.run(1000);
		expect(host.state.workers.get('w1')!.lastSuccessAt).toEqual(0);
	});
});
