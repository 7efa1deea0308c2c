/** Invariants of the scheduler, checked at the model's workers and store. */
import type {JobId} from '../../types/ids.js';
import type {
	EndedRow, FleetConfig, JobDefinition, ProgressRow, Resources, StepDefinition,
} from '../types.js';
import type {ModelHost} from './model-hosts.js';
import {modelConfig} from './model-jobs.js';
import type {ModelStore} from './model-store.js';
import type {ModelTime} from './model-time.js';
import type {ModelWorker} from './model-worker.js';

/** The share of a cap that may be in use, as the platform grants it. */
const quotaOverage = 1.1;

/** How long a member of a gang waits for the others. */
const gangTimeoutMs = 2000;

export type ModelChecksOptions = {readonly time: ModelTime; readonly store: ModelStore; readonly hosts: readonly ModelHost[]; readonly workers: readonly ModelWorker[]};

export class ModelChecks {
	static create(options: ModelChecksOptions): ModelChecks {
		return new ModelChecks(options);
	}

	/** Violated invariants. */
	readonly violations: string[] = [];
	private readonly jobs = new Map<string, JobDefinition>();
	private readonly shownAsCompleted = new Set<string>();
	private readonly failures = new Map<string, number>();
	/** Tasks with a run that ended as done and whose end was acknowledged while its lease lasted. */
	private readonly acknowledgedAsDone = new Set<string>();
	private readonly cancelledAt = new Map<string, number>();
	private readonly configs: Array<{readonly since: number; readonly config: FleetConfig}> = [];

	private constructor(private readonly options: ModelChecksOptions) {}

	addJob(job: JobDefinition): void {
		this.jobs.set(job.jobId, job);
	}

	/** Records a configuration that is in force from now on. */
	addConfig(config: FleetConfig): void {
		this.configs.push({since: this.options.time.now, config});
	}

	addCancel(jobId: JobId): void {
		this.cancelledAt.set(jobId, this.options.time.now);
	}

	/** Records a new run on a worker; whether it will fail is already decided. */
	recordRun(task: string, isFailing: boolean): void {
		this.failures.set(task, (this.failures.get(task) ?? 0) + (isFailing ? 1 : 0));
	}

	/** True if a task of the job was given as many failing runs as its queue allows. */
	canFail(jobId: string): boolean {
		return [...this.failures].some(([task, count]) => task.startsWith(jobId) && count >= modelConfig.queues[0]!.maxAttempts);
	}

	countRuns(task: string): number {
		return this.options.workers.filter(worker => worker.isUp && worker.runs.has(task)).length;
	}

	findStep(task: string): StepDefinition {
		const [jobId, , step] = task.split('.');
		return this.jobs.get(jobId!)!.steps[Number(step)]!;
	}

	/** Checks that acknowledged run ends are stored, or belong to a run whose outcome no longer matters. */
	checkAcknowledged(worker: ModelWorker, upTo: number): void {
		for (const row of worker.listEndsUpTo(upTo)) {
			if (row.how === 'done' && !this.isStored(row.task, row.run)) {
				this.violations.push(`${this.options.time.now}: the end of ${row.task} was acknowledged before it was stored`);
			}

			this.recordAcknowledged(row);
		}

		this.recordCompletedJobs();
	}

	/** Records run ends that a worker will not list, as an acknowledgement with a higher number came before them. */
	recordUnlistedEnds(worker: ModelWorker): void {
		for (const row of worker.takeUnlistedEnds()) {
			this.recordAcknowledged(row);
		}
	}

	/** Lets the members of a gang that is started whole end together: none of them works before the last one has started, and without that they end as `alone`. */
	syncGang(task: string, run: number): void {
		const step = this.findStep(task);
		if (!step.isGang) {
			return;
		}

		const prefix = task.slice(0, task.lastIndexOf('.') + 1);
		const members = this.options.workers.filter(({isUp}) => isUp).flatMap(({runs}) => [...runs.values()]).filter(member => member.task.startsWith(prefix) && member.run === run);
		const isWhole = members.length === step.count;
		for (const member of members) {
			member.endsAt = this.options.time.now + (isWhole ? step.estimateMs : gangTimeoutMs);
			member.isAlone = !isWhole;
		}
	}

	/** Checks a start that was carried out. It must fit into the worker's capacity since `knownFrom`, the time of the last news that the leader had when it sent the start. */
	checkStart(task: string, need: Resources, worker: ModelWorker, {knownFrom, isLate}: {readonly knownFrom: number; readonly isLate: boolean}): void {
		const {now} = this.options.time;
		const [jobId] = task.split('.');
		// Copies of a speculative task may run beside each other, and after each other.
		const isOnce = !this.findStep(task).isSpeculative;
		if (isOnce && this.countRuns(task) > 1) {
			this.violations.push(`${now}: ${task} runs twice at the same time`);
		}

		if (isOnce && this.acknowledgedAsDone.has(task)) {
			this.violations.push(`${now}: ${task} starts after its end as done was acknowledged`);
		}

		// No scheduler can keep a call from being carried out after its job has ended.
		if (!isLate && this.shownAsCompleted.has(jobId!)) {
			this.violations.push(`${now}: ${task} starts though its job was shown as completed`);
		}

		this.checkQuota(task, need, knownFrom);
		if (worker.countUsedCpu() > worker.getLargestCpu(knownFrom)) {
			this.violations.push(`${now}: ${worker.entry.id} exceeds its capacity after the start of a task that needs ${need.cpu} thousandths of a core`);
		}
	}

	/** Checks that a start has not brought its account above the highest cap since `knownFrom`, its overage and one task. */
	private checkQuota(task: string, need: Resources, knownFrom: number): void {
		const {account} = this.jobs.get(task.split('.')[0]!)!;
		const first = Math.max(0, this.configs.findLastIndex(({since}) => since <= knownFrom));
		const caps = this.configs.slice(first).map(({config}) => config.accounts?.find(({name}) => name === account)?.quota.cpu ?? 0);
		if (account === undefined || caps.length === 0 || caps.includes(0)) {
			return;
		}

		const used = this.countCpuOf(account);
		if (used > (Math.max(...caps) * quotaOverage) + need.cpu) {
			this.violations.push(`${this.options.time.now}: account ${account} has ${used} thousandths of a core running after the start of ${task}, its highest cap is ${Math.max(...caps)}`);
		}
	}

	private countCpuOf(account: string): number {
		let used = 0;
		for (const worker of this.options.workers) {
			for (const {task, need} of worker.isUp ? worker.runs.values() : []) {
				used += this.jobs.get(task.split('.')[0]!)!.account === account ? need.cpu : 0;
			}
		}

		return used;
	}

	private recordAcknowledged({task, how}: EndedRow): void {
		if (how === 'done') {
			this.acknowledgedAsDone.add(task);
		}
	}

	private isStored(task: string, run: number): boolean {
		const [jobId, occurrence, step, index] = task.split('.').map((part, position) => position === 0 ? part : Number(part)) as [string, number, number, number];
		const entry = this.options.store.ledger.findLast(({record}) => record.type === 'progress' && record.jobId === jobId);
		const progress = entry?.record.type === 'progress' ? entry.record.progress : undefined;
		const row = (progress?.rowsPerPart === undefined ? progress?.rows : this.findPartRows(task))?.find(candidate => candidate.occurrence === occurrence && candidate.step === step && candidate.index === index);
		const isOccurrenceStored = progress?.finishedOccurrences.some(([first, last]) => first <= occurrence && occurrence <= last);
		return this.cancelledAt.has(jobId) || isOccurrenceStored === true || progress?.phase === 'completed' || progress?.phase === 'failed' || row?.status === 'done' || (row?.run ?? 0) > run;
	}

	/** The rows of the newest stored part that has a row of a task. */
	private findPartRows(task: string): readonly ProgressRow[] | undefined {
		const [jobId, occurrence, step, index] = task.split('.');
		const isOfTask = (row: ProgressRow) => row.occurrence === Number(occurrence) && row.step === Number(step) && row.index === Number(index);
		for (const {record} of this.options.store.ledger.toReversed()) {
			if (record.type === 'progress-part' && record.jobId === jobId && record.rows.some(row => isOfTask(row))) {
				return record.rows;
			}
		}

		return undefined;
	}

	private recordCompletedJobs(): void {
		for (const host of this.options.hosts) {
			for (const job of host.state.jobs.values()) {
				if (job.phase === 'completed') {
					this.shownAsCompleted.add(job.definition.jobId);
				}
			}
		}
	}
}
