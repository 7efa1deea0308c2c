/**
 * A model of a worker for tests: it enforces its capacity, checks fencing tokens, and ends all runs when its lease expires.
 * It carries out every call that reaches it, also one that was meant for its former incarnation.
 */
import type {StartOutcome} from '../events.js';
import type {
	EndedRow, Resources, RunEnd, RunningRow, WorkerEntry,
} from '../types.js';

export type ModelRun = {readonly task: string; readonly run: number; readonly need: Resources; readonly startedAt: number; endsAt: number; readonly end: RunEnd; /** A member of a gang that waits for the others. */ isAlone?: boolean};

const maxLeaseMs = 10_000;
const fullPercent = 100;

export class ModelWorker {
	static create(entry: WorkerEntry): ModelWorker {
		return new ModelWorker(entry);
	}

	readonly runs = new Map<string, ModelRun>();
	isUp = true;
	/** Cut off from all hosts; what it runs goes on. */
	isCut = false;
	bornAt: number;
	/** Highest number that an acknowledgement to this incarnation named: run ends up to it are not listed, however late they come. */
	ackedEnd = 0;
	/** Whether starts that do not fit are refused. */
	isGuarding = true;
	private ended: EndedRow[] = [];
	/** Run ends that were acknowledged before they came. */
	private unlisted: EndedRow[] = [];
	/** When its clock read 0, in the time of the test: with each incarnation it begins anew. */
	private clockStart = 0;
	private readonly highestRuns = new Map<string, number>();
	private fence = 0;
	private nextEnd = 1;
	private leaseUntil = 0;
	/** Run ends up to this number were listed before a lease expired; acknowledging them later has no effect. */
	private expiredUpTo = 0;
	/** The processor capacity, and since when. */
	private readonly cpuHistory: Array<{readonly since: number; readonly cpu: number}>;

	private constructor(readonly entry: WorkerEntry) {
		this.bornAt = entry.bornAt;
		this.cpuHistory = [{since: 0, cpu: entry.capacity.cpu}];
	}

	get cpu(): number {
		return this.cpuHistory.at(-1)!.cpu;
	}

	/** Changes the processor capacity; what runs goes on. */
	setCpu(cpu: number, now: number): void {
		this.cpuHistory.push({since: now, cpu});
	}

	/** The largest processor capacity from an instant on. */
	getLargestCpu(from: number): number {
		const index = this.cpuHistory.findLastIndex(({since}) => since <= from);
		return Math.max(...this.cpuHistory.slice(Math.max(0, index)).map(({cpu}) => cpu));
	}

	/** The worker as it reports itself. */
	createEntry(): WorkerEntry {
		return {...this.entry, bornAt: this.bornAt, capacity: {...this.entry.capacity, cpu: this.cpu}};
	}

	/** Ends the process and all its runs. */
	crash(): void {
		this.isUp = false;
		this.runs.clear();
	}

	/** Starts a new process under the same id; its clock read 0 at `clockStart`. */
	restart(bornAt: number, clockStart = 0): void {
		this.isUp = true;
		this.bornAt = bornAt;
		this.clockStart = clockStart;
		this.runs.clear();
		this.ended = [];
		this.unlisted = [];
		this.highestRuns.clear();
		this.ackedEnd = 0;
		this.fence = 0;
		this.nextEnd = 1;
		this.leaseUntil = 0;
		this.expiredUpTo = 0;
	}

	readClock(now: number): number {
		return now - this.clockStart;
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

		if (order.untilMs <= this.readClock(now)) {
			return 'late';
		}

		this.extendLease(order.untilMs, now);
		if (run <= (this.highestRuns.get(task) ?? 0)) {
			return 'stale-run';
		}

		if (this.isGuarding && this.countUsedCpu() + order.run.need.cpu > this.cpu) {
			return 'no-room';
		}

		this.highestRuns.set(task, run);
		this.runs.set(task, order.run);
		return 'started';
	}

	/** Stops a run; returns false if a higher fencing token was seen before. */
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

	/** True if the worker has seen a higher fencing token. */
	isFenced(token: number): boolean {
		return token < this.fence;
	}

	/** Answers a poll, which may renew the lease; returns undefined if a higher fencing token was seen before. */
	poll(order: {readonly untilMs: number | undefined; readonly token: number; readonly ackedEnd: number}, now: number): {running: RunningRow[]; ended: EndedRow[]} | undefined {
		if (order.token < this.fence) {
			return undefined;
		}

		this.fence = order.token;
		if (order.untilMs !== undefined) {
			this.extendLease(order.untilMs, now);
		}

		this.ackedEnd = Math.max(this.ackedEnd, order.ackedEnd);
		this.ended = this.ended.filter(row => row.number > this.ackedEnd);
		const running = [...this.runs.values()].map(run => ({
			task: run.task, run: run.run, checkpoint: '', percent: Math.min(fullPercent - 1, Math.floor(fullPercent * (now - run.startedAt) / (run.endsAt - run.startedAt))), reading: undefined,
		}));
		return {running, ended: [...this.ended]};
	}

	/** Ends runs that are due, or all runs if the lease has expired; returns those that ended by themselves. */
	advance(now: number): ModelRun[] {
		const done: ModelRun[] = [];
		const isExpired = this.readClock(now) >= this.leaseUntil;
		if (isExpired) {
			this.expiredUpTo = this.nextEnd - 1;
		}

		for (const run of this.runs.values()) {
			if (isExpired) {
				this.endRun(run.task, 'lapsed');
			} else if (now >= run.endsAt) {
				this.endRun(run.task, run.isAlone ? 'alone' : run.end);
				done.push(run);
			}
		}

		return done;
	}

	countUsedCpu(): number {
		return [...this.runs.values()].reduce((sum, run) => sum + run.need.cpu, 0);
	}

	/** Run ends that an acknowledgement up to `number` would apply to. */
	listEndsUpTo(number: number): EndedRow[] {
		return this.ended.filter(row => row.number <= number && row.number > this.expiredUpTo);
	}

	/** Returns, once, the run ends that were acknowledged before they came. */
	takeUnlistedEnds(): EndedRow[] {
		const {unlisted} = this;
		this.unlisted = [];
		return unlisted;
	}

	private extendLease(untilMs: number, now: number): void {
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.readClock(now) + maxLeaseMs));
	}

	private endRun(task: string, how: RunEnd): void {
		const run = this.runs.get(task);
		if (run) {
			this.runs.delete(task);
			const row = {
				number: this.nextEnd++, task, run: run.run, how, checkpoint: '',
			};
			(row.number <= this.ackedEnd ? this.unlisted : this.ended).push(row);
		}
	}
}
