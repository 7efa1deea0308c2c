/** The callers' requests of a run: the brief's bursts, with ids that are repeated to other entry hosts at once and later. */
import {
	type Balancer, planLoad, runLoad, type ClassShape, type LoadOutcome, type PlannedRequest,
} from '@rhubarblever/stand-ins';
import {SeededRandom} from './draws.js';
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
	/** So long there are no bursts. */
	readonly calmMs: number;
	/** When the load begins, in milliseconds since the epoch. */
	readonly startAt: number;
};

/** Plans requests; some ids come again, at once or later, to other entry hosts. */
export function planCalls(shape: CallsShape): PlannedRequest[] {
	const draws = SeededRandom.create(shape.seed);
	const planned = planLoad({
		seed: shape.seed, services, meanRate: shape.meanRate, durationMs: shape.durationMs, burstMs, calmMs: shape.calmMs, classes, teams,
	}).map(request => ({...request, requestId: createRequestId(draws, shape.startAt + request.arrivalAt)}));
	const repeats = planned
		.filter(() => draws.drawFraction() < repeatedShare)
		.flatMap(request => planRepeats(draws, request))
		.filter(({arrivalAt}) => arrivalAt < shape.durationMs);
	return [...planned, ...repeats].toSorted((a, b) => a.arrivalAt - b.arrivalAt);
}

/** Sends planned requests through the balancer. */
export async function runCalls(planned: readonly PlannedRequest[], balancer: Balancer, onOutcome: (outcome: LoadOutcome) => void): Promise<void> {
	await runLoad({planned, onOutcome, listEntryHosts: () => balancer.list().map(host => host.address)});
}

/** A UUID of version 7: time-ordered, of an instant in milliseconds since the epoch. */
export function createRequestId(draws: SeededRandom, at: number): string {
	const time = Math.floor(at).toString(idRadix).padStart(12, '0');
	const drawDigits = (count: number) => Array.from({length: count}, () => draws.drawInteger(0, idRadix - 1).toString(idRadix)).join('');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${drawDigits(3)}-8${drawDigits(3)}-${drawDigits(12)}`;
}

/** One to three more calls of the same id, at once or later, each with a deadline of its own. */
function planRepeats(draws: SeededRandom, request: PlannedRequest): PlannedRequest[] {
	return Array.from({length: draws.drawInteger(1, 3)}, () => {
		const afterMs = draws.drawFraction() < 0.5 ? 0 : draws.drawInteger(1, longestRepeatAfterMs);
		return {
			...request, draw: draws.drawInteger(0, largestDraw), arrivalAt: request.arrivalAt + afterMs, deadlineAt: request.deadlineAt + afterMs,
		};
	});
}
