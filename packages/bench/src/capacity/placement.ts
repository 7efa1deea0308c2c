#!/usr/bin/env node
/**
 * Measures placement on the leader with 1,000 workers and 10,000 waiting tasks, without accounts and with 20 and 2,000:
 * `node packages/bench/dist/capacity/placement.js`.
 */
import {
	createSchedulerState, reduceScheduler, type SchedulerEvent, type SchedulerState,
} from '@rhubarblever/core/scheduler';
import {measureCpu, measureMedian} from './measure.js';

const workers = 1000;
const tasksPerJob = 8;
const tasks = 10_000;
const taskCpu = 2000;
/** Each worker holds four tasks. */
const workerCpu = 8000;
const passes = 15;
const fills = 5;
const wallStart = 1_800_000_000_000;

type Body = SchedulerEvent extends infer Event ? (Event extends SchedulerEvent ? Omit<Event, 'at' | 'wallAt'> : never) : never;

function apply(state: SchedulerState, body: Body) {
	return reduceScheduler(state, {...body, at: state.now + 1, wallAt: wallStart as SchedulerEvent['wallAt']});
}

/** A leader whose workers have answered and none of whose appends is confirmed unless the measurement does so. */
function createLeader(accounts: number): SchedulerState {
	const state = createSchedulerState({
		holder: 'h', claimJitter: 0, capacityShortfall: 0, firstSequence: 1, moveMs: 1500, upkeepMs: 2000, orderLeaseMs: 3000, maxLeaseMs: 10_000, stopMs: 200, statusRetentionMs: 120_000, remoteRackFactor: 2, maxRecordBytes: 262_144,
	});
	apply(state, {
		type: 'config/read', config: {
			version: 1,
			queues: [{
				name: 'q', host: 'h', pathPrefix: '/', pool: 'p', priority: 0, maxAttempts: 3, stretch: 2, latencyTargetMs: 600, timeoutMs: 3000, advice: undefined,
			}],
			pools: [{
				name: 'p', isSpare: false, maxConnections: 64, healthPath: '/', hasAdmissionCheck: true,
			}],
			...(accounts > 0 && {
				accounts: Array.from({length: accounts}, (_, index) => ({
					name: `a${index}`, weight: 1 + (index % 7), quota: {cpu: workers * workerCpu, memoryMb: 0, gpu: 0}, keyDigests: [],
				})),
			}),
		},
	});
	apply(state, {type: 'ledger/loaded', entries: [], nextOffset: 0});
	apply(state, {type: 'clock/ticked'});
	apply(state, {type: 'claim/ended', outcome: 'granted', claimedAt: 0});
	apply(state, {
		type: 'workers/listed', isReloaded: true, workers: Array.from({length: workers}, (_, index) => ({
			id: `w${index}`, bornAt: 1, address: `w${index}`, pool: 'p', availabilityZone: 'a', capacity: {cpu: workerCpu, memoryMb: 100_000, gpu: 0}, labels: ['a', `r${index % 20}`], isDraining: false, remainingMs: undefined, machineId: undefined,
		})),
	});
	for (const worker of state.workers.values()) {
		worker.isPolledByLeader = true;
	}

	state.leadership.commit = undefined;
	state.leadership.commitNotBefore = 0;
	return state;
}

/** Submits jobs in turn for all accounts; only the events after it place tasks. */
function submitJobs(state: SchedulerState, accounts: number): void {
	state.leadership.commitNotBefore = Number.POSITIVE_INFINITY;
	apply(state, {
		type: 'intake/read', records: Array.from({length: tasks / tasksPerJob}, (_, index) => ({
			type: 'job', job: {
				jobId: index.toString(16).padStart(16, '0') as never, queue: 'q', pool: 'p', spec: 's', runCount: 0, firstRunAt: 0 as never, intervalMs: 0, ...(accounts > 0 && {account: `a${index % accounts}`}),
				steps: [{
					count: tasksPerJob, need: {cpu: taskCpu, memoryMb: 100, gpu: 0}, estimateMs: 60_000, dependsOn: [], isCheckpointing: false, isGang: false, isSameRack: false, requiredLabel: '', dataRack: '', maxPerWorker: 0, isSpeculative: false, isLongRunning: false, latencyTargetMs: 0, isFiller: false, maxUnavailable: 0,
				}],
			},
		})),
	});
	state.leadership.commit = undefined;
	state.leadership.commitNotBefore = 0;
}

/** Processor time in milliseconds of a pass that fills the workers, and of one that finds them full. */
function measurePlacement(accounts: number) {
	const microseconds = 1000;
	const fill = measureMedian(fills, () => {
		const state = createLeader(accounts);
		submitJobs(state, accounts);
		return measureCpu(() => {
			state.needsPlacement = true;
			apply(state, {type: 'clock/ticked'});
		}) / microseconds;
	});
	const state = createLeader(accounts);
	submitJobs(state, accounts);
	state.needsPlacement = true;
	apply(state, {type: 'clock/ticked'});
	const placed = [...state.workers.values()].reduce((sum, worker) => sum + worker.tasks.size, 0);
	const full = measureMedian(passes, () => {
		state.leadership.commit = undefined;
		state.leadership.commitNotBefore = 0;
		state.needsPlacement = true;
		return measureCpu(() => {
			apply(state, {type: 'clock/ticked'});
		}) / microseconds;
	});
	return {fill, full, placed};
}

// The first runs are slower, as their code is not compiled yet.
measurePlacement(0);
measurePlacement(20);
for (const accounts of [0, 20, 2000]) {
	const {fill, full, placed} = measurePlacement(accounts);
	console.log(`${accounts} accounts: ${fill.toFixed(1)} ms to place ${placed} of ${tasks} tasks, ${full.toFixed(1)} ms when the workers are full`);
}
