/** Plans an open-loop load from a seed: several services that burst in turn, classes of work, teams and deadlines. */
import type {WorkClass} from '@rhubarblever/core';
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

/** One class of requests of a load. Run times are uniformly distributed from 0.5 to 1.5 times the mean. */
export type ClassShape = {
	readonly workClass: WorkClass;
	/** Share of all requests; the shares of all classes add up to 1. */
	readonly share: number;
	readonly meanRunMs: number;
	/** Milliseconds from arrival to deadline. */
	readonly deadlineMs: number;
	readonly isIdempotent: boolean;
};

export type LoadShape = {
	readonly seed: number;
	readonly services: readonly string[];
	/** Mean requests per second of each service. */
	readonly meanRate: number;
	readonly durationMs: number;
	/** Duration of each burst; the services burst one after another. */
	readonly burstMs: number;
	/** Duration of the initial phase without bursts, in which every service has its mean rate. */
	readonly calmMs: number;
	readonly classes: readonly ClassShape[];
	/** Number of teams per service. The first team makes half of the requests, and an equal share of the rest. */
	readonly teams: number;
};

/** Phase of a service. `calm`: no service bursts. `own-burst`: this service bursts. `other-burst`: another one does. */
export type LoadPhase = 'calm' | 'own-burst' | 'other-burst';

/** A planned request; instants are in milliseconds from the start of the load. */
export type PlannedRequest = {
	readonly requestId: string;
	readonly service: string;
	readonly team: string;
	readonly workClass: WorkClass;
	readonly isIdempotent: boolean;
	readonly runMs: number;
	readonly arrivalAt: number;
	readonly deadlineAt: number;
	readonly phase: LoadPhase;
	/** Random integer; modulo the number of entry hosts it selects one. */
	readonly draw: number;
};

/** The users' load pattern: each service in turn has five times its mean rate, and a twentieth of the mean while another service bursts. */
const burstFactor = 5;
const otherBurstFactor = 1 / 20;
const randomSteps = 2 ** 30;

export const defaultClasses: readonly ClassShape[] = [
	{
		workClass: 'quick', share: 0.7, meanRunMs: 40, deadlineMs: 500, isIdempotent: true,
	},
	{
		workClass: 'heavy', share: 0.25, meanRunMs: 200, deadlineMs: 3000, isIdempotent: false,
	},
	{
		workClass: 'long', share: 0.05, meanRunMs: 1500, deadlineMs: 15_000, isIdempotent: false,
	},
];

const phaseFactors: Readonly<Record<LoadPhase, number>> = {calm: 1, 'own-burst': burstFactor, 'other-burst': otherBurstFactor};

/** Mean run time over all classes, weighted by their shares, in milliseconds. */
export function computeMeanRunMs(classes: readonly ClassShape[]): number {
	return classes.reduce((sum, {share, meanRunMs}) => sum + (share * meanRunMs), 0);
}

/** Mean rate, in requests per second, at which a service with the given number of slots has the given utilization. */
export function computeMeanRate(slots: number, utilization: number, classes: readonly ClassShape[]): number {
	return slots * utilization * 1000 / computeMeanRunMs(classes);
}

/** Plans all requests of a load, in order of arrival. Deterministic: the same shape gives the same plan. */
export function planLoad(shape: LoadShape): PlannedRequest[] {
	const planned = shape.services.flatMap((service, index) => planService(shape, service, index));
	return planned.toSorted((a, b) => a.arrivalAt - b.arrivalAt);
}

/** Returns the phase of a service at an instant of the load. */
export function getPhase(shape: LoadShape, serviceIndex: number, at: number): LoadPhase {
	if (at < shape.calmMs) {
		return 'calm';
	}

	const burstingIndex = Math.floor((at - shape.calmMs) / shape.burstMs) % shape.services.length;
	return burstingIndex === serviceIndex ? 'own-burst' : 'other-burst';
}

/** Plans the arrivals of one service: a Poisson process at the burst rate, thinned to the rate of each phase. */
function planService(shape: LoadShape, service: string, index: number): PlannedRequest[] {
	const random = xoroshiro128plus((shape.seed * 1000) + index);
	const planned: PlannedRequest[] = [];
	const peakIntervalMs = 1000 / (shape.meanRate * burstFactor);
	for (let at = drawInterval(random, peakIntervalMs); at < shape.durationMs; at += drawInterval(random, peakIntervalMs)) {
		const phase = getPhase(shape, index, at);
		if (drawFraction(random) < phaseFactors[phase] / burstFactor) {
			planned.push(planRequest({
				shape, random, service, phase, at, number: planned.length,
			}));
		}
	}

	return planned;
}

type Arrival = {
	readonly shape: LoadShape;
	readonly random: RandomGenerator;
	readonly service: string;
	readonly phase: LoadPhase;
	readonly at: number;
	readonly number: number;
};

function planRequest({
	shape, random, service, phase, at, number,
}: Arrival): PlannedRequest {
	const {workClass, isIdempotent, meanRunMs, deadlineMs} = drawClass(random, shape.classes);
	const isFirstTeam = drawFraction(random) < 0.5;
	const team = isFirstTeam ? 1 : 1 + Math.floor(drawFraction(random) * shape.teams);
	return {
		requestId: `load-${shape.seed}-${service}-${number}`,
		service,
		team: `${service}-team-${team}`,
		workClass,
		isIdempotent,
		runMs: Math.round(meanRunMs * (0.5 + drawFraction(random))),
		arrivalAt: at,
		deadlineAt: at + deadlineMs,
		phase,
		draw: Math.floor(drawFraction(random) * randomSteps),
	};
}

function drawClass(random: RandomGenerator, classes: readonly ClassShape[]): ClassShape {
	let remaining = drawFraction(random);
	for (const candidate of classes) {
		remaining -= candidate.share;
		if (remaining < 0) {
			return candidate;
		}
	}

	const last = classes.at(-1);
	if (!last) {
		throw new Error('a load needs at least one class');
	}

	return last;
}

/** Draws an exponentially distributed interval. */
function drawInterval(random: RandomGenerator, mean: number): number {
	return -Math.log(1 - drawFraction(random)) * mean;
}

/** Draws a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
function drawFraction(random: RandomGenerator): number {
	return unsafeUniformIntDistribution(0, randomSteps - 1, random) / randomSteps;
}
