/** What the routing bench runs: the brief's sizes on loopback. */
import {
	computeMeanRate, defaultClasses, type LoadShape, type PublishableRecord,
} from '@rhubarblever/stand-ins';

export const availabilityZones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
export const entryHostsPerZone = 3;
export const services = ['routes', 'replans', 'rosters', 'maps', 'overlays'];
export const runnersPerService = 7;
export const slotsPerRunner = 8;
export const connectionsPerRunner = 64;
export const slotsPerService = runnersPerService * slotsPerRunner;

/** How busy the mean load keeps the slots; a burst asks for five times as much. */
const meanBusyShare = 0.3;
const teams = 3;

/** `pace` lengthens run times and deadlines and so asks for fewer requests a second of the same slots. */
export type BenchTimes = {readonly durationMs: number; readonly burstMs: number; readonly calmMs: number; readonly pace: number};

/** Each service bursts once after a calm start. */
export const shortTimes: BenchTimes = {
	durationMs: 20_000, burstMs: 3000, calmMs: 5000, pace: 1,
};
export const longTimes: BenchTimes = {
	durationMs: 60_000, burstMs: 5000, calmMs: 10_000, pace: 1,
};

/** The load of one run. */
export function createLoadShape(seed: number, {pace, ...times}: BenchTimes): LoadShape {
	const classes = defaultClasses.map(shape => ({...shape, meanRunMs: shape.meanRunMs * pace, deadlineMs: shape.deadlineMs * pace}));
	return {
		...times, seed, services, teams, classes, meanRate: computeMeanRate(slotsPerService, meanBusyShare, classes),
	};
}

/** Puts the services in force. */
export const benchRecords: readonly PublishableRecord[] = services.map(service => ({
	recordId: `service-${service}`,
	schema: 'service',
	version: 1,
	body: {
		service, pool: `pool-${service}`, slotsPerRunner, connectionsPerRunner,
	},
}));
