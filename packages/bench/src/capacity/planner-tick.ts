/** Measures the cost of one planning tick on the host that holds the planner lease, with waiting jobs, teams with quotas and workers. */
import {
	instantSchema, listedHostSchema, listedWorkerSchema, loggedRecordSchema, offsetSchema, reduce, type Instant, type State,
} from '@rhubarblever/core';
import {
	buildRecords, createMeasuredHost, applyRecords, type FleetSize,
} from './measured-fleet.js';
import {measureCpu, measureMedian} from './measure.js';

const teams = 45;
const quota = {cores: 400, accelerators: 60};
const startAt = 2_000_000;
const leaseMs = 15_000;
/** Longer than the interval after which the planner plans again even if nothing changed. */
const planStepMs = 1050;
const ticks = 5;

/** Processor time in microseconds of one tick that plans all jobs. */
export function measurePlannerTick(size: FleetSize): number {
	const state = createPlanner(size);
	let at = startAt;
	return measureMedian(ticks, () => {
		at += planStepMs;
		listWorkers(state, size, at);
		return measureCpu(() => {
			reduce(state, {type: 'clock/ticked', at: parseInstant(at)});
		});
	});
}

function createPlanner(size: FleetSize): State {
	const state = createMeasuredHost();
	const records = buildRecords(size);
	for (let team = 0; team < teams; team++) {
		records.push(createRecord(records.length, 'quota', {team: `team-${team}`, ...quota}));
	}

	const {self, incarnation} = state.settings;
	records.push(createRecord(records.length, 'planner-lease', {
		holder: self.hostId, incarnation, term: 1, deadline: startAt + leaseMs,
	}));
	reduce(state, {
		type: 'snapshot/read', at: parseInstant(startAt), records: [], firstOffset: offsetSchema.parse(0), nextOffset: offsetSchema.parse(0),
	});
	applyRecords(state, records);
	reduce(state, {type: 'hosts/listed', at: parseInstant(startAt), hosts: listHosts(size)});
	return state;
}

function createRecord(offset: number, schema: string, body: unknown) {
	return loggedRecordSchema.parse({
		offset, at: startAt, record: {
			recordId: `record-${offset}`, schema, version: 1, body,
		},
	});
}

function listHosts(size: FleetSize) {
	return Array.from({length: size.workers}, (_, index) => listedHostSchema.parse({
		hostId: `worker-${index}`, role: 'worker', availabilityZone: `zone-${(index % 7) + 1}`, address: '127.0.0.1:1', state: 'live', cores: 64, memoryBytes: 256_000_000_000, accelerators: 2,
	}));
}

function listWorkers(state: State, size: FleetSize, at: number): void {
	const workers = Array.from({length: size.workers}, (_, index) => listedWorkerSchema.parse({
		hostId: `worker-${index}`, availabilityZone: `zone-${(index % 7) + 1}`, state: 'up', runningTasks: 0, reportedAt: at,
	}));
	reduce(state, {type: 'workers/listed', at: parseInstant(at), workers});
	reduce(state, {type: 'tasks/listed', at: parseInstant(at), tasks: []});
}

function parseInstant(at: number): Instant {
	return instantSchema.parse(at);
}
