/** Evaluates a test run by the ledger of the platform stand-in, which records actual events in order. */
import type {ListedHost} from '@rhubarblever/core';
import type {PlatformLedgerEntry} from '@rhubarblever/stand-ins';

/** One run of a job on a worker. */
export type TaskRun = {
	readonly taskId: string;
	readonly hostId: string;
	readonly startedAt: number;
	readonly endedAt: number;
	/** The event that ended the run; undefined while it runs. */
	readonly end: string | undefined;
};

/** The most hosts out of service by plan at once, and the fewest healthy hosts in service at once. */
export type PoolExtremes = {readonly mostOut: number; readonly leastHealthy: number};

type HostCondition = {isMember: boolean; isOut: boolean; isDown: boolean};

const conditionChanges: Readonly<Record<string, (condition: HostCondition) => void>> = {
	'drain-started'(condition) {
		condition.isOut = true;
	},
	undrained(condition) {
		condition.isOut = false;
	},
	'pool-set'(condition) {
		condition.isMember = false;
	},
	'worker-failed'(condition) {
		condition.isDown = true;
	},
	'worker-healed'(condition) {
		condition.isDown = false;
	},
};

const taskEnds: ReadonlySet<string> = new Set([
	'task-succeeded', 'task-failed', 'task-stopped', 'task-lapsed', 'task-cut', 'task-lost', 'task-out-of-memory',
]);

/** Measures the extremes of a pool over a run. A host is out from the start of its drain until it is undrained or in another pool. */
export function measureExtremes(ledger: readonly PlatformLedgerEntry[], among: readonly ListedHost[]): PoolExtremes {
	const conditions = new Map<string, HostCondition>(among.map(host => [host.hostId, {isMember: true, isOut: false, isDown: false}]));
	let mostOut = 0;
	let leastHealthy = among.length;
	for (const {event, hostId} of ledger) {
		const condition = conditions.get(hostId);
		if (!condition) {
			continue;
		}

		conditionChanges[event]?.(condition);
		const all = [...conditions.values()].filter(({isMember}) => isMember);
		mostOut = Math.max(mostOut, all.filter(({isOut}) => isOut).length);
		leastHealthy = Math.min(leastHealthy, all.filter(({isOut, isDown}) => !isOut && !isDown).length);
	}

	return {mostOut, leastHealthy};
}

/** All runs of tasks, in the order of their starts. */
export function listRuns(ledger: readonly PlatformLedgerEntry[]): TaskRun[] {
	return ledger.filter(entry => entry.event === 'task-started').map(({taskId = '', attempt, hostId, at}) => {
		const end = ledger.find(entry => entry.taskId === taskId && entry.attempt === attempt && taskEnds.has(entry.event));
		return {
			taskId, hostId, startedAt: at, endedAt: end?.at ?? Number.POSITIVE_INFINITY, end: end?.event,
		};
	});
}

/** The runs of one job, in the order of their starts. */
export function listRunsOf(ledger: readonly PlatformLedgerEntry[], taskId: string): TaskRun[] {
	return listRuns(ledger.filter(entry => entry.taskId === taskId));
}

/** Runs that began before an earlier run of the same job had ended. */
export function listOverlaps(ledger: readonly PlatformLedgerEntry[]): TaskRun[] {
	const endedAt = new Map<string, number>();
	return listRuns(ledger).filter(run => {
		const earlier = endedAt.get(run.taskId) ?? 0;
		endedAt.set(run.taskId, Math.max(earlier, run.endedAt));
		return run.startedAt < earlier;
	});
}
