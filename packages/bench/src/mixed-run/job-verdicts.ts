/** Verdicts on jobs, from the platform's ledger and the fleet state. */
import {groupBy} from './groups.js';
import {formatTime, type Journal} from './journal.js';
import type {FleetAnswer} from './operator.js';
import {createVerdict, type Evidence, type Verdict} from './verdict.js';

const endedSteps = new Set(['succeeded', 'failed', 'cancelled', 'parked']);

/** Accepted jobs that have not ended, or are unknown to the fleet. */
export function listUnendedJobs(journal: Journal, {jobs}: FleetAnswer): string[] {
	const ended = new Set(jobs.filter(({step}) => endedSteps.has(step)).map(({jobId}) => jobId));
	return [...journal.acceptedJobs].filter(jobId => !ended.has(jobId));
}

/** All verdicts on jobs. */
export function judgeJobs({journal, states, platformLedger}: Evidence): Verdict[] {
	const starts = groupBy(platformLedger.filter(({event}) => event === 'task-started'), ({taskId}) => taskId);
	const state = states.find(candidate => candidate.state)?.state;
	const steps = new Map(state?.jobs.map(({jobId, step}) => [jobId, step]));
	const unended = state ? listUnendedJobs(journal, state) : [...journal.acceptedJobs];
	const tooOften = [...journal.allowedRuns].filter(([jobId, allowedRuns]) => (starts.get(jobId)?.length ?? 0) > allowedRuns);
	const counts = [...groupBy(steps.values(), step => step)].map(([step, group]) => `${step} ${group.length}`).join(', ');
	return [
		createVerdict('every accepted job ends', `${journal.acceptedJobs.size} accepted; ${counts}`, unended.map(jobId => `${jobId} is ${steps.get(jobId) ?? 'gone'}`)),
		createVerdict(
			'no job starts more often than it may',
			`${[...starts.values()].flat().length} starts`,
			tooOften.map(([jobId, allowedRuns]) => `${jobId}: ${starts.get(jobId)?.map(({at, hostId, attempt}) => `${attempt} on ${hostId} at ${formatTime(at)}`).join(', ')}; allowed ${allowedRuns}`),
		),
	];
}
