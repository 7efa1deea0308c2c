/** Counts every answer to a caller for the burn rates. Reads events and effects and changes only the burn state. */
import {build} from 'hdr-histogram-js';
import type {Effect} from '../types/effects.js';
import type {Event} from '../types/events.js';
import type {ServiceId} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {findAlarm} from './rates.js';
import type {
	BadCause, BurnBucket, LatencyBucket, ServiceBurn,
} from './state.js';

const minuteMs = 60_000;
const hourMs = 3_600_000;
/** The longest alarm window (360 minutes, see `alarmRules`) and the running minute. */
const keptMinutes = 361;
/** 6 hours and the running hour. */
const keptHours = 7;
const checkIntervalMs = 5000;
const highestLatencyMs = hourMs;
const firstServerErrorStatus = 500;

/** Updates the open requests and counts an answer of a target. Must run before the event's handler. Returns metrics. */
export function trackRequestEvent(state: State, event: Event): Effect[] {
	state.burn.since ??= event.at;
	if (event.type === 'request/arrived' && state.fleet.services.has(event.request.service)) {
		state.burn.open.set(event.request.callerKey, event.request);
	} else if (event.type === 'caller/gone') {
		state.burn.open.delete(event.callerKey);
	} else if (event.type === 'attempt/answered') {
		const request = state.requests.attempts.get(event.attemptId)?.request;
		if (request) {
			return recordAnswer(state, request, event.status >= firstServerErrorStatus ? 'target-error' : undefined);
		}
	}

	return [];
}

/** Counts the faults with which the effects of an event answer callers. Returns metrics. */
export function recordFaultAnswers(state: State, effects: readonly Effect[]): Effect[] {
	return effects.flatMap(effect => {
		const request = effect.type === 'caller/refuse' ? state.burn.open.get(effect.callerKey) : undefined;
		if (request && effect.type === 'caller/refuse') {
			return recordAnswer(state, request, effect.fault.kind);
		}

		return [];
	});
}

function recordAnswer(state: State, request: CallerRequest, cause: BadCause | undefined): Effect[] {
	if (!state.burn.open.delete(request.callerKey)) {
		return [];
	}

	const burn = findOrCreateServiceBurn(state, request.service);
	const bucket = findOrCreateBucket(burn, state.now);
	const latencyMs = state.now - request.arrivedAt;
	const bound = state.fleet.objectives.get(request.service)?.body.latencyBoundMs ?? Number.POSITIVE_INFINITY;
	const badCause = cause ?? (latencyMs > bound ? 'too-slow' : undefined);
	findOrCreateLatencies(burn, state.now).histogram.recordValue(Math.min(Math.max(1, latencyMs), highestLatencyMs));
	if (badCause === undefined) {
		bucket.good += 1;
	} else {
		bucket.bad += 1;
		bucket.badByCause.set(badCause, (bucket.badByCause.get(badCause) ?? 0) + 1);
	}

	return createAnswerMetrics(request, badCause ?? 'good', latencyMs);
}

function createAnswerMetrics(request: CallerRequest, outcome: BadCause | 'good', latencyMs: number): Effect[] {
	const tags = {service: request.service, class: request.workClass, outcome};
	return [
		{
			type: 'metric/send', kind: 'count', name: 'request.answered', value: 1, tags,
		},
		{
			type: 'metric/send', kind: 'timing', name: 'request.duration', value: latencyMs, tags,
		},
	];
}

function findOrCreateServiceBurn(state: State, service: ServiceId): ServiceBurn {
	const known = state.burn.services.get(service);
	if (known) {
		return known;
	}

	const burn: ServiceBurn = {buckets: [], latencies: [], alarm: 'none'};
	state.burn.services.set(service, burn);
	return burn;
}

function findOrCreateBucket(burn: ServiceBurn, now: Instant): BurnBucket {
	const startsAt = (now - (now % minuteMs)) as Instant;
	const last = burn.buckets.at(-1);
	if (last && last.startsAt >= startsAt) {
		return last;
	}

	const bucket: BurnBucket = {
		startsAt, good: 0, bad: 0, badByCause: new Map(),
	};
	burn.buckets.push(bucket);
	removeOlder(burn.buckets, now - (keptMinutes * minuteMs));
	return bucket;
}

function findOrCreateLatencies(burn: ServiceBurn, now: Instant): LatencyBucket {
	const startsAt = (now - (now % hourMs)) as Instant;
	const last = burn.latencies.at(-1);
	if (last && last.startsAt >= startsAt) {
		return last;
	}

	const histogram = build({
		bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: highestLatencyMs, numberOfSignificantValueDigits: 2,
	});
	const bucket = {startsAt, histogram};
	burn.latencies.push(bucket);
	removeOlder(burn.latencies, now - (keptHours * hourMs));
	return bucket;
}

function removeOlder(buckets: Array<{readonly startsAt: Instant}>, from: number): void {
	while (buckets[0] && buckets[0].startsAt < from) {
		buckets.shift();
	}
}

/** Checks the objectives of all services periodically. Logs each change of an alarm and sends every alarm as a gauge. */
export function tickBurn(state: State): Effect[] {
	if (state.now < state.burn.nextCheckAt) {
		return [];
	}

	state.burn.nextCheckAt = addMilliseconds(state.now, checkIntervalMs);
	return [...state.burn.services].flatMap(([service, burn]) => updateAlarm(state, service, burn));
}

function updateAlarm(state: State, service: ServiceId, burn: ServiceBurn): Effect[] {
	const objective = state.fleet.objectives.get(service)?.body;
	if (!objective) {
		return [];
	}

	const alarm = findAlarm(burn.buckets, state.now, objective.goodShare);
	const effects: Effect[] = [{
		type: 'metric/send', kind: 'gauge', name: 'burn.alarm', value: {none: 0, slow: 1, fast: 2}[alarm], tags: {service},
	}];
	if (alarm !== burn.alarm) {
		effects.push({
			type: 'line/write', level: alarm === 'none' ? 'info' : 'warn', event: 'burn alarm changed', fields: {service, from: burn.alarm, to: alarm},
		});
		burn.alarm = alarm;
	}

	return effects;
}
