/** The results of the routing bench as rows and as a text table. */
import type {WorkClass} from '@rhubarblever/core';
import type {PolicyRun} from './run-policy.js';

/** One column of the table: its title and the text of a cell. */
type Column = {readonly title: string; readonly render: (run: PolicyRun) => string};

/** The ratio of good answers to those of the ideal schedule. */
export function computeGoodputShare(run: PolicyRun): number {
	return run.load.results.good / run.idealGood;
}

/** The same for requests within a burst of their own service. */
export function computeBurstGoodputShare(run: PolicyRun): number {
	return run.goodInBursts / run.idealGoodInBursts;
}

/** Latency percentiles of the good answers of a class. */
export function getLatency(run: PolicyRun, workClass: WorkClass) {
	const found = run.load.classes.find(candidate => candidate.workClass === workClass);
	if (!found) {
		throw new Error(`no class ${workClass}`);
	}

	return found;
}

function renderLatency(workClass: WorkClass): Column {
	return {
		title: `${workClass} p50/p99 ms`,
		render(run) {
			const {latency} = getLatency(run, workClass);
			return `${latency.p50Ms.toFixed(0)}/${latency.p99Ms.toFixed(0)}`;
		},
	};
}

const columns: readonly Column[] = [
	{title: 'policy', render: run => run.policy},
	{title: 'seed', render: run => String(run.seed)},
	{title: 'sent', render: run => String(run.load.sent)},
	{title: 'good/ideal %', render: run => renderPercent(computeGoodputShare(run))},
	{title: 'in bursts %', render: run => renderPercent(computeBurstGoodputShare(run))},
	renderLatency('quick'),
	renderLatency('heavy'),
	renderLatency('long'),
	{
		title: 'quick p99 calm/other burst',
		render(run) {
			const {phases} = getLatency(run, 'quick');
			return `${phases.calm.p99Ms.toFixed(0)}/${phases['other-burst'].p99Ms.toFixed(0)}`;
		},
	},
	{
		title: 'added p50 ms, uncontended: no claim/claim',
		render: run => `${run.addedP50Ms.toFixed(2)}/${run.addedP50WithClaimMs.toFixed(2)}`,
	},
	{title: 'load average at that', render: run => run.calmLoadAverage.toFixed(1)},
	{title: 'quick added p50 ms under load', render: run => getLatency(run, 'quick').added.p50Ms.toFixed(1)},
	{title: 'refused', render: run => String(run.load.results.refused)},
	{title: 'refusals needed', render: run => String(run.load.sent - run.idealGood)},
	{
		title: 'idle slot-seconds while work waited (% of all)',
		render: run => `${run.idleSlotSeconds.toFixed(1)} (${renderPercent(run.idleSlotSeconds / run.slotSeconds)})`,
	},
	{title: 'late', render: run => String(run.load.results.late)},
	{title: 'unknown', render: run => String(run.load.results.unknown)},
	{title: 'wrong+failed+broken', render: ({load: {results}}) => String(results.wrong + results.failed + results.broken)},
	{title: 'overfill slots/conns', render: run => `${run.overfilledSlots}/${run.overfilledConnections}`},
	{title: 'peak on a runner', render: run => String(run.peakRequests)},
	{title: 'repeated starts: all/non-idempotent', render: run => `${run.repeatedStarts}/${run.repeatedNonIdempotentStarts}`},
	{title: 'idle CPU ms/host/s', render: run => run.idleCpuMsPerHostSecond.toFixed(0)},
	{title: 'CPU ms/1000', render: run => run.cpuMsPerThousandRequests.toFixed(0)},
	{title: 'load average of the machine', render: run => run.loadAverage.toFixed(1)},
	{title: 'control B/host/s', render: run => run.controlBytesPerHostSecond.toFixed(0)},
];

/** Returns the titles, then one row for each run. */
export function listRows(runs: readonly PolicyRun[]): string[][] {
	return [columns.map(column => column.title), ...runs.map(run => columns.map(column => column.render(run)))];
}

/** Renders the table as text: one line for each measure, one column for each run. */
export function renderTable(runs: readonly PolicyRun[]): string {
	const rows = listRows(runs);
	const titles = rows[0] ?? [];
	const lines = titles.map((_, column) => rows.map(row => row[column] ?? ''));
	const widths = rows.map(row => Math.max(...row.map(cell => cell.length)));
	return lines.map(line => line.map((cell, index) => index === 0 ? cell.padEnd(widths[index] ?? 0) : cell.padStart(widths[index] ?? 0)).join('  ')).join('\n');
}

function renderPercent(share: number): string {
	return (share * 100).toFixed(1);
}
