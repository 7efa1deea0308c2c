#!/usr/bin/env node
/** Prints the measured slopes of an entry host's state, for docs/CAPACITY.md: `node packages/bench/dist/capacity/main.js`. */
import process from 'node:process';
import {encodeFleetState, reduce, type Instant} from '@rhubarblever/core';
import {measureClaimMemory} from './claim-memory.js';
import {computeFit, type Point} from './fit.js';
import {
	buildRecords, createMeasuredHost, applyRecords, type FleetSize,
} from './measured-fleet.js';
import {measureCpu, measureHeap, measureMedian} from './measure.js';
import {measurePlannerTick} from './planner-tick.js';
import {measureSnapshotVolume} from './snapshot-volume.js';

const runs = 5;
const ticks = 200;
const smallest: FleetSize = {
	pools: 33, workers: 100, jobs: 100, changes: 100,
};
const twoYearSize: FleetSize = {
	pools: 33, workers: 1000, jobs: 10_000, changes: 2100,
};
const varied: ReadonlyArray<{readonly field: keyof FleetSize; readonly sizes: readonly number[]}> = [
	{field: 'pools', sizes: [8, 16, 33, 66]},
	{field: 'workers', sizes: [125, 250, 500, 1000]},
	{field: 'jobs', sizes: [500, 1000, 2000, 4000]},
	{field: 'changes', sizes: [525, 1050, 2100, 4200]},
];

/** One cost of a fleet, measured as a function of its size. */
type Measure = {readonly name: string; readonly unit: string; readonly take: (size: FleetSize) => number};

const measures: readonly Measure[] = [
	{
		name: 'heap of the state',
		unit: 'bytes',
		take: size => measureHeap(() => createPopulatedState(size)).bytes,
	},
	{
		name: 'folding the whole log',
		unit: 'µs',
		take(size) {
			const records = buildRecords(size);
			return measureMedian(runs, () => measureCpu(() => {
				applyRecords(createMeasuredHost(), records);
			}));
		},
	},
	{
		name: 'one snapshot',
		unit: 'bytes',
		take: size => encodeFleetState(createPopulatedState(size).fleet).length,
	},
	{
		name: 'one clock event',
		unit: 'µs',
		take(size) {
			const state = createPopulatedState(size);
			let at = 2_000_000;
			return measureMedian(runs, () => measureCpu(() => {
				for (let index = 0; index < ticks; index++) {
					at += 50;
					reduce(state, {type: 'clock/ticked', at: at as Instant});
				}
			})) / ticks;
		},
	},
];

function createPopulatedState(size: FleetSize) {
	const state = createMeasuredHost();
	applyRecords(state, buildRecords(size));
	return state;
}

function writeFit(name: string, field: string, points: readonly Point[]): void {
	const fit = computeFit(points);
	const shown = points.map(point => `${point.size}: ${point.cost.toFixed(0)}`).join(', ');
	process.stdout.write(`${name} by ${field}: slope ${fit.slope.toPrecision(3)}, base ${fit.base.toFixed(0)}, spread ${(fit.spread * 100).toFixed(0)}% [${shown}]\n`);
}

createPopulatedState(smallest);
for (const {name, unit, take} of measures) {
	for (const {field, sizes} of varied) {
		writeFit(`${name} (${unit})`, field, sizes.map(size => ({size, cost: take({...smallest, [field]: size})})));
	}
}

const planned: ReadonlyArray<{readonly field: keyof FleetSize; readonly sizes: readonly number[]}> = [
	{field: 'jobs', sizes: [1250, 2500, 5000, 10_000]},
	{field: 'workers', sizes: [125, 250, 500, 1000]},
];
for (const {field, sizes} of planned) {
	writeFit('one planning tick (ms)', field, sizes.map(size => ({size, cost: measurePlannerTick({...twoYearSize, [field]: size}) / 1000})));
}

writeFit('heap of claims (bytes)', 'request ids', [12_500, 25_000, 50_000, 100_000].map(size => ({size, cost: measureClaimMemory(size)})));

const volume = measureSnapshotVolume(createPopulatedState(twoYearSize), 2_000_000);
process.stdout.write(`snapshots at the two-year size, only leases renewed, half an hour: ${volume.count}, ${volume.bytesPerSecond.toFixed(0)} bytes/s\n`);
