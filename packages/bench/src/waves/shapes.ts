/** The firms' fleets: 35 workers in racks of four over three availability zones, with budgets, weights and reboot times. */
import type {
	AvailabilityZone, HostId, RackId, WaveWeights,
} from '@rhubarblever/core';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import type {FakeWorker} from './fake-platform.js';

export type BenchBudget = {
	readonly minimumHealthyHosts: number;
	readonly maximumHostsOut: number;
	readonly maximumHostsOutPerZone: number;
	readonly maximumHostsOutPerRack: number;
};

export type FirmShape = {
	readonly name: string;
	readonly budget: BenchBudget;
	readonly weights: WaveWeights;
};

export const firmShapes: readonly FirmShape[] = [
	{
		name: 'Saarepuu',
		budget: {
			minimumHealthyHosts: 27, maximumHostsOut: 8, maximumHostsOutPerZone: 3, maximumHostsOutPerRack: 2,
		},
		weights: {rollOutTime: 1, bufferCost: 4},
	},
	{
		name: 'Meteografiki',
		budget: {
			minimumHealthyHosts: 26, maximumHostsOut: 9, maximumHostsOutPerZone: 3, maximumHostsOutPerRack: 4,
		},
		weights: {rollOutTime: 4, bufferCost: 1},
	},
];

export const minuteMs = 60_000;
export const slotsPerWorker = 8;
/** The wave begins after the load has run for this time. */
export const waveStartMs = 11 * minuteMs;
export const workerCount = 35;
const urgentReserve = 0.1;
const zoneCount = 3;
const hostsPerRack = 4;
const racksPerZone = 3;
const shortestRebootMs = 2 * minuteMs;
const longestRebootMs = 4 * minuteMs;
const failureFromMs = 12 * minuteMs;
const failureUntilMs = 27 * minuteMs;

/** The number of jobs that fit the minimum of healthy hosts (or all hosts if `isFull`), less the share that is reserved for urgent jobs. */
export function countJobs(firm: FirmShape, isFull: boolean): number {
	const hosts = isFull ? workerCount : firm.budget.minimumHealthyHosts;
	return Math.floor(hosts * slotsPerWorker * (1 - urgentReserve));
}

/** Creates the workers of one trial; with `hasFailure` the second rack is down for 15 minutes during the wave. */
export function createWorkers(seed: number, hasFailure: boolean): FakeWorker[] {
	const random = xoroshiro128plus(seed);
	const draw = (from: number, to: number) => unsafeUniformIntDistribution(from, to, random);
	return Array.from({length: workerCount}, (_, index): FakeWorker => {
		const rack = Math.floor(index / hostsPerRack);
		return {
			hostId: `worker-${String(index + 1).padStart(2, '0')}` as HostId,
			availabilityZone: `zone-${Math.floor(rack / racksPerZone) % zoneCount}` as AvailabilityZone,
			rack: `rack-${rack}` as RackId,
			rebootMs: draw(shortestRebootMs, longestRebootMs),
			outages: hasFailure && rack === 1 ? [{from: waveStartMs + failureFromMs, until: waveStartMs + failureUntilMs}] : [],
			state: 'up',
			since: 0,
		};
	});
}
