/** A model of a worker for tests: it guards its room, fences orders, and ends what no lease keeps. */
import type {StartOutcome} from '../events.js';
import type {
	EndedRow, Resources, RunEnd, RunningRow, WorkerEntry,
} from '../types.js';

export type ModelRun = {readonly task: string; readonly run: number; readonly need: Resources; readonly startedAt: number; readonly endsAt: number; readonly end: RunEnd};

const maximumLeaseMs = 10_000;
const fullPercent = 100;

export class ModelWorker {
	static create(entry: WorkerEntry): ModelWorker {
		return new ModelWorker(entry);
	}

	readonly runs = new Map<string, ModelRun>();
	isUp = true;
	bornAt: number;
	/** Highest end that a leader has acknowledged. */
	ackedEnd = 0;
	private ended: EndedRow[] = [];
	private readonly highestRuns = new Map<string, number>();
	private fence = 0;
	private nextEnd = 1;
	private leaseUntil = 0;
	/** Ends up to this were listed when a lease ended: acknowledging them later counts no more. */
	private lapsedUpTo = 0;

	private constructor(readonly entry: WorkerEntry) {
		this.bornAt = entry.bornAt;
	}

	/** Its process ends; what ran is gone. */
	crash(): void {
		this.isUp = false;
		this.runs.clear();
	}

	/** A new process under the same id. */
	restart(bornAt: number): void {
		this.isUp = true;
		this.bornAt = bornAt;
		this.runs.clear();
		this.ended = [];
		this.highestRuns.clear();
		this.ackedEnd = 0;
		this.fence = 0;
		this.nextEnd = 1;
		this.leaseUntil = 0;
		this.lapsedUpTo = 0;
	}

	start(order: {readonly run: ModelRun; readonly untilMs: number; readonly token: number}, now: number): StartOutcome {
		if (order.token < this.fence) {
			return 'fenced';
		}

		this.fence = order.token;
		const {task, run} = order.run;
		if (this.runs.get(task)?.run === run) {
			return 'started';
		}

		if (order.untilMs <= now) {
			return 'late';
		}

		this.extendLease(order.untilMs, now);
		if (run <= (this.highestRuns.get(task) ?? 0)) {
			return 'stale-run';
		}

		if (this.countUsedCpu() + order.run.need.cpu > this.entry.capacity.cpu) {
			return 'no-room';
		}

		this.highestRuns.set(task, run);
		this.runs.set(task, order.run);
		return 'started';
	}

	/** False: a higher token was seen. */
	stop(task: string, run: number, token: number): boolean {
		if (token < this.fence) {
			return false;
		}

		this.fence = token;
		this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
		if (this.runs.get(task)?.run === run) {
			this.endRun(task, 'stopped');
		}

		return true;
	}

	/** Undefined: a higher token was seen. */
	poll(order: {readonly untilMs: number | undefined; readonly token: number; readonly ackedEnd: number}, now: number): {running: RunningRow[]; ended: EndedRow[]} | undefined {
		if (order.token < this.fence) {
			return undefined;
		}

		this.fence = order.token;
		if (order.untilMs !== undefined) {
			this.extendLease(order.untilMs, now);
		}

		this.ackedEnd = Math.max(this.ackedEnd, order.ackedEnd);
		this.ended = this.ended.filter(row => row.number > order.ackedEnd);
		const running = [...this.runs.values()].map(run => ({
			task: run.task, run: run.run, checkpoint: '', percent: Math.min(fullPercent - 1, Math.floor(fullPercent * (now - run.startedAt) / (run.endsAt - run.startedAt))), reading: undefined,
		}));
		return {running, ended: [...this.ended]};
	}

	/** Ends runs whose work is over, or all if the lease is; returns what was done. */
	advance(now: number): ModelRun[] {
		const done: ModelRun[] = [];
		if (now >= this.leaseUntil) {
			this.lapsedUpTo = this.nextEnd - 1;
		}

		for (const run of this.runs.values()) {
			if (now >= this.leaseUntil) {
				this.endRun(run.task, 'lapsed');
			} else if (now >= run.endsAt) {
				this.endRun(run.task, run.end);
				done.push(run);
			}
		}

		return done;
	}

	countUsedCpu(): number {
		return [...this.runs.values()].reduce((sum, run) => sum + run.need.cpu, 0);
	}

	/** Ends that an acknowledgement would take note of. */
	listEndsUpTo(number: number): EndedRow[] {
		return this.ended.filter(row => row.number <= number && row.number > this.lapsedUpTo);
	}

	private extendLease(untilMs: number, now: number): void {
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, now + maximumLeaseMs));
	}

	private endRun(task: string, how: RunEnd): void {
		const run = this.runs.get(task);
		if (run) {
			this.runs.delete(task);
			this.ended.push({
				number: this.nextEnd++, task, run: run.run, how, checkpoint: '',
			});
		}
	}
}
