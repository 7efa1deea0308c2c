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

export type BenchTimes = {readonly durationMs: number; readonly burstMs: number; readonly calmMs: number};

/** Each service bursts once after a calm start. */
export const shortTimes: BenchTimes = {durationMs: 20_000, burstMs: 3000, calmMs: 5000};
export const longTimes: BenchTimes = {durationMs: 60_000, burstMs: 5000, calmMs: 10_000};

/** The load of one run. */
export function createLoadShape(seed: number, times: BenchTimes): LoadShape {
	return {
		...times, seed, services, teams, classes: defaultClasses, meanRate: computeMeanRate(slotsPerService, meanBusyShare, defaultClasses),
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
