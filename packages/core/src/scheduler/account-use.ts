/**
 * Resources in use by each client account, over all workers and pools. Tasks count from their placement until their run has
 * certainly ended; runs that may exist without an assigned task count too: starts that may still be carried out, and runs
 * that workers report and this leader did not start.
 */
import type {JobId} from '../types/ids.js';
import {getLeaseEnd} from './incarnations.js';
import {addResources, noResources} from './resources.js';
import type {AccountName, Resources, TaskName} from './types.js';
import type {
	LateStart, SchedulerState, Task, Worker,
} from './state.js';

/** Name under which the use of jobs without an account is counted. */
export const noAccount: AccountName = '';

/** What an account's runs reserve. */
export type AccountCharge = {readonly account: AccountName; readonly resources: Resources};

export type AccountUse = {
	/** What the tasks that are assigned to workers reserve. Updated with each assignment and its end. */
	readonly assigned: Map<AccountName, Resources>;
	/** What runs that may exist without an assigned task reserve, as of the latest `updateUncertainUse`. */
	readonly uncertain: Map<AccountName, Resources>;
	/** Workers with unanswered starts or unknown runs. */
	readonly uncertainWorkers: Set<Worker>;
	/** Accounts whose tasks their quota holds back, and when it last did. */
	readonly heldBack: Map<AccountName, number>;
	/** When the work counted as arrived would be done if the account's whole cap were in use. */
	readonly busyUntil: Map<AccountName, number>;
};

export function createAccountUse(): AccountUse {
	return {
		assigned: new Map(), uncertain: new Map(), uncertainWorkers: new Set(), heldBack: new Map(), busyUntil: new Map(),
	};
}

/** Forgets the use of all accounts, at the beginning of a term. */
export function clearAccountUse({accountUse}: SchedulerState): void {
	for (const entries of Object.values(accountUse)) {
		entries.clear();
	}
}

/** What a task counts against its account. Fillers count with the processor that they declare, though they reserve none at their worker. */
export function getCharge({step: {definition, occurrence: {job}}}: Task): AccountCharge {
	return {account: job.definition.account ?? noAccount, resources: definition.need};
}

function addCharge(uses: Map<AccountName, Resources>, {account, resources}: AccountCharge, sign: 1 | -1): void {
	const use = addResources(uses.get(account) ?? noResources, resources, sign);
	if (use.cpu === 0 && use.memoryMb === 0 && use.gpu === 0) {
		uses.delete(account);
	} else {
		uses.set(account, use);
	}
}

/** Adds a task that was assigned to a worker to the use of its account, or removes it. */
export function updateAssignedUse({accountUse}: SchedulerState, task: Task, sign: 1 | -1): void {
	addCharge(accountUse.assigned, getCharge(task), sign);
}

/** Notes that a worker has unanswered starts or unknown runs. */
export function noteUncertainWorker({accountUse}: SchedulerState, worker: Worker): void {
	accountUse.uncertainWorkers.add(worker);
}

const noRuns: Worker['unknownRuns'] = new Map();

/** False once a worker is gone or its lease has certainly expired: nothing runs there any more, whatever it reported last. */
function hasLiveRuns({workers, now}: SchedulerState, worker: Worker): boolean {
	return workers.get(worker.id) === worker && now <= getLeaseEnd(worker);
}

/** Recomputes the use of runs that may exist without an assigned task. The cost is proportional to the workers with such runs. */
export function updateUncertainUse(state: SchedulerState): void {
	const {uncertain, uncertainWorkers} = state.accountUse;
	uncertain.clear();
	for (const worker of uncertainWorkers) {
		const starts = worker.lateStarts.filter(late => late.forgetAt > state.now);
		const unknownRuns = hasLiveRuns(state, worker) ? worker.unknownRuns : noRuns;
		if (starts.length === 0 && unknownRuns.size === 0) {
			uncertainWorkers.delete(worker);
			continue;
		}

		for (const late of starts) {
			if (late.charge && isUncertain(worker, late)) {
				addCharge(uncertain, late.charge, 1);
			}
		}

		for (const task of unknownRuns.keys()) {
			const charge = findChargeByName(state, task);
			if (charge) {
				addCharge(uncertain, charge, 1);
			}
		}
	}
}

/** True if a start may still be carried out, and its run counts neither as assigned nor as unknown. */
function isUncertain({tasks, unknownRuns}: Worker, {task, run, isRuledOut}: LateStart): boolean {
	return !isRuledOut && tasks.get(task)?.run !== run && unknownRuns.get(task)?.run !== run;
}

/** What a reported run counts against its account; undefined if its job is not known or was shortened. */
function findChargeByName({jobs}: SchedulerState, name: TaskName): AccountCharge | undefined {
	const [jobId, , step] = name.split('.');
	const definition = jobs.get(jobId as JobId)?.definition;
	const resources = definition?.steps[Number(step)]?.need;
	return resources && {account: definition?.account ?? noAccount, resources};
}

/** What an account has running, or may have. */
export function getAccountUse({accountUse: {assigned, uncertain}}: SchedulerState, account: AccountName): Resources {
	const use = assigned.get(account) ?? noResources;
	const more = uncertain.get(account);
	return more ? addResources(use, more) : use;
}
