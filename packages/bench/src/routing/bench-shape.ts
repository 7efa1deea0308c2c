/** The fleet and the load of the routing benchmark, on loopback. */
import {
	createServiceRecord, computeMeanRate, defaultClasses, type LoadShape, type PublishableRecord,
} from '@rhubarblever/stand-ins';

export const availabilityZones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
export const entryHostsPerZone = 3;
export const services = ['routes', 'replans', 'rosters', 'maps', 'overlays'];
export const runnersPerService = 7;
export const slotsPerRunner = 8;
export const connectionsPerRunner = 64;
export const slotsPerService = runnersPerService * slotsPerRunner;

const teams = 3;

/**
 * `pace` multiplies run times, which lowers the request rate for the same slots; `deadlinePace` multiplies deadlines.
 * `busyShare`: share of the slots that the mean load occupies; a burst demands five times as much.
 */
export type BenchTimes = {
	readonly durationMs: number; readonly burstMs: number; readonly calmMs: number;
	readonly pace: number; readonly deadlinePace: number; readonly busyShare: number;
};

/** Each service bursts once after a calm start. */
export const shortTimes: BenchTimes = {
	durationMs: 20_000, burstMs: 3000, calmMs: 5000, pace: 1, deadlinePace: 1, busyShare: 0.3,
};
export const longTimes: BenchTimes = {
	durationMs: 60_000, burstMs: 5000, calmMs: 10_000, pace: 1, deadlinePace: 1, busyShare: 0.3,
};
/** Bursts demand two and a half times the slots for longer than the deadlines of quick and heavy work, so that some requests must be refused. Three of the services burst. */
export const hardTimes: BenchTimes = {
	durationMs: 24_000, burstMs: 7000, calmMs: 3000, pace: 6, deadlinePace: 2, busyShare: 0.5,
};

/** Creates the shape of the load of one run. */
export function createLoadShape(seed: number, {
	pace, deadlinePace, busyShare, ...times
}: BenchTimes): LoadShape {
	const classes = defaultClasses.map(shape => ({...shape, meanRunMs: shape.meanRunMs * pace, deadlineMs: shape.deadlineMs * deadlinePace}));
	return {
		...times, seed, services, teams, classes, meanRate: computeMeanRate(slotsPerService, busyShare, classes),
	};
}

/** Records that configure the services. */
export const benchRecords: readonly PublishableRecord[] = services.map(service => (createServiceRecord(service, {pool: `pool-${service}`, slotsPerRunner, connectionsPerRunner})));
