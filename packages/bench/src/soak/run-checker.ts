/** Records what workers do with each task and checks it against the guarantees, independently of the entry hosts' view. */
import type {RunObserver} from '@rhubarblever/stand-ins';

type TaskRecord = {
	/** Workers at which the task runs now. */
	readonly runningAt: Set<string>;
	isDone: boolean;
	/** True once a run that completed the task was acknowledged. */
	isAcknowledged: boolean;
	starts: number;
};

type JobFacts = {readonly rejectedAt: number | undefined; readonly cancelledAt: number | undefined; readonly firstStepTasks: number};

export type RunCheckerOptions = {
	/** What callers know of a job; undefined if nobody submitted it. */
	readonly findJob: (jobId: string) => JobFacts | undefined;
	/** Current time in milliseconds, on the same clock as the times in `JobFacts`. */
	readonly readClock: () => number;
	/** Time until which entry hosts or the store were last under a fault, on the same clock; a cancel may take effect late until then. */
	readonly readDisturbedUntil: () => number;
};

/** No task of a cancelled job may start later than this after the cancel was confirmed and hosts and store were without faults. */
const cancelSlackMs = 3000;

export class RunChecker implements RunObserver {
	static create(options: RunCheckerOptions): RunChecker {
		return new RunChecker(options);
	}

	/** Violated guarantees. */
	readonly violations: string[] = [];
	private readonly tasks = new Map<string, TaskRecord>();

	private constructor(private readonly options: RunCheckerOptions) {}

	noteStart(workerId: string, task: string, run: number): void {
		const record = this.getRecord(task);
		const [jobId = '', , step = ''] = task.split('.');
		const what = `${task} run ${run} at ${workerId}`;
		if (record.runningAt.size > 0) {
			this.report(`${what} starts while it runs at ${[...record.runningAt].join(', ')}`);
		}

		if (record.isAcknowledged) {
			this.report(`${what} starts after a run that succeeded was acknowledged`);
		}

		record.starts++;
		record.runningAt.add(workerId);
		this.checkJob(jobId, step, what);
	}

	noteEnd(workerId: string, task: string, _run: number, isDone: boolean): void {
		const record = this.getRecord(task);
		record.runningAt.delete(workerId);
		record.isDone ||= isDone;
	}

	noteAcknowledged(task: string): void {
		this.getRecord(task).isAcknowledged = true;
	}

	/** Records a violated guarantee. */
	report(what: string): void {
		this.violations.push(`${Math.round(this.options.readClock())} ms: ${what}`);
	}

	/** True if all tasks of a job have been done at some worker. */
	isDone(jobId: string, tasks: number): boolean {
		return [...this.tasks].filter(([task, record]) => task.startsWith(`${jobId}.`) && record.isDone).length === tasks;
	}

	/** Number of tasks of a job that run now. */
	countRunning(jobId: string): number {
		return [...this.tasks].filter(([task, record]) => task.startsWith(`${jobId}.`) && record.runningAt.size > 0).length;
	}

	/** Number of starts of all tasks. */
	countStarts(): number {
		return [...this.tasks.values()].reduce((sum, record) => sum + record.starts, 0);
	}

	private checkJob(jobId: string, step: string, what: string): void {
		const job = this.options.findJob(jobId);
		const now = this.options.readClock();
		if (!job) {
			this.report(`${what} starts though nobody submitted its job`);
		} else if (job.rejectedAt !== undefined) {
			this.report(`${what} starts though its job was refused`);
		} else if (job.cancelledAt !== undefined && now > Math.max(job.cancelledAt, this.options.readDisturbedUntil()) + cancelSlackMs) {
			this.report(`${what} starts ${Math.round(now - job.cancelledAt)} ms after its job was cancelled`);
		}

		if (job && step === '1' && this.countDoneOfFirstStep(jobId) < job.firstStepTasks) {
			this.report(`${what} starts before the step it depends on is done`);
		}
	}

	private countDoneOfFirstStep(jobId: string): number {
		return [...this.tasks].filter(([task, record]) => task.startsWith(`${jobId}.0.0.`) && record.isDone).length;
	}

	private getRecord(task: string): TaskRecord {
		let record = this.tasks.get(task);
		if (!record) {
			record = {
				runningAt: new Set(), isDone: false, isAcknowledged: false, starts: 0,
			};
			this.tasks.set(task, record);
		}

		return record;
	}
}
