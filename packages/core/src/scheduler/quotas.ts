/**
 * Caps on what client accounts may have running over all pools. The newest configuration that the leader knows counts: a
 * lowered cap blocks further starts at once, and stops nothing.
 *
 * A start never brings an account above its cap itself; the overage that operators grant is left for runs that this leader
 * cannot know of, such as late starts of an earlier leader.
 */
import {getAccountUse} from './account-use.js';
import {noteDecision} from './logging.js';
import {findAccount} from './queues.js';
import {
	addResources, computeDominantShare, doesFit, noResources, resourceNames,
} from './resources.js';
import type {
	FleetConfig, JobDefinition, Resources, StepDefinition,
} from './types.js';
import type {Job, SchedulerState, StepRun} from './state.js';

/** A quota counts as cleared once it has held back no task for this long; otherwise each end of a run under a full quota would log two changes. */
const clearedAfterMs = 1000;
/** Arriving work counts as demand for machines up to what the account's cap can run within this time. */
const workAheadMs = 1500;

const units = {cpu: 'thousandths of a core', memoryMb: 'MB of memory', gpu: 'accelerators'} as const;

/** The cap of a job's account, with infinity for no limit; undefined if nothing is capped. */
function findCap(config: FleetConfig | undefined, {account}: JobDefinition): Resources | undefined {
	const quota = account === undefined ? undefined : findAccount(config, account)?.quota;
	if (!quota || resourceNames.every(name => quota[name] === 0)) {
		return undefined;
	}

	return {cpu: quota.cpu || Number.POSITIVE_INFINITY, memoryMb: quota.memoryMb || Number.POSITIVE_INFINITY, gpu: quota.gpu || Number.POSITIVE_INFINITY};
}

/** How many more tasks of a step may start under its account's cap; infinite without a cap. */
export function countAdmitted(state: SchedulerState, {definition, occurrence: {job}}: StepRun): number {
	const cap = findCap(state.config, job.definition);
	if (!cap) {
		return Number.POSITIVE_INFINITY;
	}

	const room = addResources(cap, getAccountUse(state, job.definition.account!), -1);
	if (!doesFit(noResources, room)) {
		return 0;
	}

	const counts = resourceNames.filter(name => definition.need[name] > 0).map(name => Math.floor(room[name] / definition.need[name]));
	return Math.min(...counts);
}

/** True if what the account of a step has placed and running is within its cap, which may have been lowered since. */
export function isWithinQuota(state: SchedulerState, {occurrence: {job}}: StepRun): boolean {
	const cap = findCap(state.config, job.definition);
	return !cap || doesFit(getAccountUse(state, job.definition.account!), cap);
}

/** Why a job can never run under its account's cap: it has a task, or a gang, larger than the cap. Undefined if it can run. */
export function describeQuotaExcess(config: FleetConfig | undefined, definition: JobDefinition): string | undefined {
	const cap = findCap(config, definition);
	if (!cap) {
		return undefined;
	}

	for (const [number, step] of definition.steps.entries()) {
		const need = getLeastNeed(step);
		const name = resourceNames.find(resource => need[resource] > cap[resource]);
		if (name) {
			return `${step.isGang ? 'the gang' : 'each task'} of step ${number} needs ${need[name]} ${units[name]}; the quota of the account is ${cap[name]}`;
		}
	}

	return undefined;
}

/** What must run at once for a step to make progress. */
function getLeastNeed({isGang, count, need}: StepDefinition): Resources {
	return addResources(noResources, need, isGang ? count : 1);
}

/** Notes that its account's quota holds back tasks of a step. */
export function noteHeldBack(state: SchedulerState, {occurrence: {job}}: StepRun): void {
	const {heldBack} = state.accountUse;
	const account = job.definition.account!;
	if (!heldBack.has(account)) {
		const {cpu, memoryMb, gpu} = getAccountUse(state, account);
		noteDecision(state, 'quota-reached', {
			account, cpu, memoryMb, gpu, configVersion: state.config?.version,
		});
	}

	heldBack.set(account, state.now);
}

/** Drops the accounts whose quotas have held back nothing for a while. Call it after tasks have been placed. */
export function clearQuotas(state: SchedulerState): void {
	const {heldBack} = state.accountUse;
	for (const [account, at] of heldBack) {
		if (state.now - at >= clearedAfterMs) {
			heldBack.delete(account);
			noteDecision(state, 'quota-cleared', {account, configVersion: state.config?.version});
		}
	}
}

/** Has tasks placed again if that may clear a quota. */
export function tickQuotas(state: SchedulerState): void {
	for (const at of state.accountUse.heldBack.values()) {
		state.needsPlacement ||= state.now - at >= clearedAfterMs;
	}
}

/** True if the work of a job that has just arrived adds to the demand for machines now; otherwise its account's cap lets it run only later. */
export function hasQuotaForWork(state: SchedulerState, {definition}: Job): boolean {
	const cap = findCap(state.config, definition);
	if (!cap) {
		return true;
	}

	const {busyUntil, heldBack} = state.accountUse;
	const account = definition.account!;
	const from = Math.max(state.now, busyUntil.get(account) ?? 0);
	if (heldBack.has(account) || from > state.now + workAheadMs) {
		return false;
	}

	let work = noResources;
	for (const {need, count, estimateMs, isLongRunning} of definition.steps) {
		work = addResources(work, need, isLongRunning ? 0 : count * estimateMs);
	}

	busyUntil.set(account, from + computeDominantShare(work, cap));
	return true;
}
