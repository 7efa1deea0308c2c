/** The callers' requests of a run: bursts, with some request ids repeated to other entry hosts, at the same time or later. */
import {
	type Balancer, planLoad, runLoad, type ClassShape, type LoadOutcome, type PlannedRequest,
} from '@rhubarblever/stand-ins';
import {SeededRandom} from './seeded-random.js';
import {services} from './fleet-shape.js';

const classes: readonly ClassShape[] = [
	{
		workClass: 'quick', share: 0.7, meanRunMs: 30, deadlineMs: 2000, isIdempotent: true,
	},
	{
		workClass: 'heavy', share: 0.25, meanRunMs: 200, deadlineMs: 6000, isIdempotent: false,
	},
	{
		workClass: 'long', share: 0.05, meanRunMs: 1500, deadlineMs: 15_000, isIdempotent: false,
	},
];
const burstMs = 4000;
const teams = 3;
const repeatedShare = 0.1;
const longestRepeatAfterMs = 20_000;
const largestDraw = 2 ** 30;
const idRadix = 16;

export type CallsShape = {
	readonly seed: number;
	/** Mean requests a second of each service. */
	readonly meanRate: number;
	readonly durationMs: number;
	/** Length of the initial period without bursts. */
	readonly calmMs: number;
	/** When the load begins, in milliseconds since the epoch. */
	readonly startAt: number;
};

/** Plans requests; some ids are sent again to other entry hosts, at the same time or later. */
export function planCalls(shape: CallsShape): PlannedRequest[] {
	const random = SeededRandom.create(shape.seed);
	const planned = planLoad({
		seed: shape.seed, services, meanRate: shape.meanRate, durationMs: shape.durationMs, burstMs, calmMs: shape.calmMs, classes, teams,
	}).map(request => ({...request, requestId: createRequestId(random, shape.startAt + request.arrivalAt)}));
	const repeats = planned
		.filter(() => random.drawFraction() < repeatedShare)
		.flatMap(request => planRepeats(random, request))
		.filter(({arrivalAt}) => arrivalAt < shape.durationMs);
	return [...planned, ...repeats].toSorted((a, b) => a.arrivalAt - b.arrivalAt);
}

/** Sends planned requests through the balancer. */
export async function runCalls(planned: readonly PlannedRequest[], balancer: Balancer, onOutcome: (outcome: LoadOutcome) => void): Promise<void> {
	await runLoad({planned, onOutcome, listEntryHosts: () => balancer.list().map(host => host.address)});
}

/** Creates a version 7 UUID (time-ordered) for an instant in milliseconds since the epoch. */
export function createRequestId(random: SeededRandom, at: number): string {
	const time = Math.floor(at).toString(idRadix).padStart(12, '0');
	const drawDigits = (count: number) => Array.from({length: count}, () => random.drawInteger(0, idRadix - 1).toString(idRadix)).join('');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${drawDigits(3)}-8${drawDigits(3)}-${drawDigits(12)}`;
}

/** Plans one to three more calls with the same id, at the same time or later, each with its own deadline. */
function planRepeats(random: SeededRandom, request: PlannedRequest): PlannedRequest[] {
	return Array.from({length: random.drawInteger(1, 3)}, () => {
		const afterMs = random.drawFraction() < 0.5 ? 0 : random.drawInteger(1, longestRepeatAfterMs);
		return {
			...request, draw: random.drawInteger(0, largestDraw), arrivalAt: request.arrivalAt + afterMs, deadlineAt: request.deadlineAt + afterMs,
		};
	});
}
