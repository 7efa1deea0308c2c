/** Plans an open-loop load from a seed: several services whose bursts follow each other, three classes of work, teams and deadlines. */
import type {WorkClass} from '@rhubarblever/core';
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

/** One class of a load. Run times vary evenly from half to one and a half times the mean. */
export type ClassShape = {
	readonly workClass: WorkClass;
	/** Its part of all requests; the parts of all classes add up to 1. */
	readonly share: number;
	readonly meanRunMs: number;
	/** Milliseconds from arrival to deadline. */
	readonly deadlineMs: number;
	readonly isIdempotent: boolean;
};

export type LoadShape = {
	readonly seed: number;
	readonly services: readonly string[];
	/** Mean requests a second of each service. */
	readonly meanRate: number;
	readonly durationMs: number;
	/** How long each service's burst lasts; they take turns. */
	readonly burstMs: number;
	/** At the start no service bursts for so long; all ask their mean. */
	readonly calmMs: number;
	readonly classes: readonly ClassShape[];
	/** Teams of each service; the first asks for half of the requests. */
	readonly teams: number;
};

/** `calm`: no service bursts. `own-burst`: its own service does. */
export type LoadPhase = 'calm' | 'own-burst' | 'other-burst';

/** A request of the plan; instants in milliseconds from the start of the load. */
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
	/** Chooses its entry host, by remainder. */
	readonly draw: number;
};

/** The brief's pattern: each queue in turn asks five times its mean, a twentieth in between. */
const burstFactor = 5;
const quietFactor = 1 / 20;
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

const phaseFactors: Readonly<Record<LoadPhase, number>> = {calm: 1, 'own-burst': burstFactor, 'other-burst': quietFactor};

/** Mean run time of a mix of classes, in milliseconds. */
export function computeMeanRunMs(classes: readonly ClassShape[]): number {
	return classes.reduce((sum, {share, meanRunMs}) => sum + (share * meanRunMs), 0);
}

/** The mean rate at which a service with so many slots is busy for a given part of the time. */
export function computeMeanRate(slots: number, busyShare: number, classes: readonly ClassShape[]): number {
	return slots * busyShare * 1000 / computeMeanRunMs(classes);
}

/** All requests of a load in the order of their arrival. The same shape gives the same plan. */
export function planLoad(shape: LoadShape): PlannedRequest[] {
	const planned = shape.services.flatMap((service, index) => planService(shape, service, index));
	return planned.toSorted((a, b) => a.arrivalAt - b.arrivalAt);
}

/** The phase of a service at an instant of the load. */
export function getPhase(shape: LoadShape, serviceIndex: number, at: number): LoadPhase {
	if (at < shape.calmMs) {
		return 'calm';
	}

	const turn = Math.floor((at - shape.calmMs) / shape.burstMs) % shape.services.length;
	return turn === serviceIndex ? 'own-burst' : 'other-burst';
}

/** Arrivals at the burst's rate, thinned to the rate of each phase. */
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
	let rest = drawFraction(random);
	for (const candidate of classes) {
		rest -= candidate.share;
		if (rest < 0) {
			return candidate;
		}
	}

	const last = classes.at(-1);
	if (!last) {
		throw new Error('a load needs at least one class');
	}

	return last;
}

/** An exponentially distributed interval. */
function drawInterval(random: RandomGenerator, mean: number): number {
	return -Math.log(1 - drawFraction(random)) * mean;
}

/** Evenly from 0 to below 1. */
function drawFraction(random: RandomGenerator): number {
	return unsafeUniformIntDistribution(0, randomSteps - 1, random) / randomSteps;
}
