/** Faults of targets: wrong or missing answers, refusals, crashes and targets that leave. */
import type {AnswerFault, TargetSettings} from '@rhubarblever/stand-ins';
import type {FaultKind, FaultTable, FaultContext} from './fault-kinds.js';
import {services, targetsPerZone, zones} from './fleet-shape.js';
import type {Leaving} from './journal.js';

const targets = services.flatMap(service => zones.flatMap(zone =>
	Array.from({length: targetsPerZone}, (_, index) => [`runner-${service}-${zone}-${index + 1}`])));

const timing = {
	candidates: targets, shortestMs: 2000, longestMs: 12_000, recoveryMs: 1500,
};
const downMs = 800;

function createSettingsKind(createSettings: (seed: number) => Partial<TargetSettings>): FaultKind {
	return {
		...timing,
		async start({fleet}, {names: [hostId = ''], seed}) {
			await fleet.setTarget(hostId, createSettings(seed));
			return async () => fleet.setTarget(hostId, {});
		},
	};
}

function createAnswerKind(fault: AnswerFault, probability = 0.3): FaultKind {
	return createSettingsKind(seed => ({fault: {fault, probability, seed}}));
}

/** Records that a target starts to leave; call the returned function to record the end. */
function noteLeaving({journal}: FaultContext, hostId: string, how: Leaving['how']): () => void {
	const from = Date.now();
	const index = journal.leavings.push({
		hostId, how, from, to: Number.POSITIVE_INFINITY,
	}) - 1;
	return () => {
		journal.leavings[index] = {
			hostId, how, from, to: Date.now(),
		};
	};
}

const leavingTiming = {...timing, shortestMs: 8000, longestMs: 15_000};

export const targetFaults: FaultTable = {
	'target-late': createAnswerKind({kind: 'late', lateMs: 3000}),
	'target-crossed': createAnswerKind({kind: 'crossed'}),
	'target-twice': createAnswerKind({kind: 'twice'}),
	'target-cut': createAnswerKind({kind: 'cut'}),
	'target-wrong-length': createAnswerKind({kind: 'wrong-length'}),
	'target-silent': createAnswerKind({kind: 'silent'}, 0.1),
	'target-crash-before': createAnswerKind({kind: 'crash-before', downMs}, 0.1),
	'target-crash-during': createAnswerKind({kind: 'crash-during', downMs}, 0.1),
	'target-crash-after': createAnswerKind({kind: 'crash-after', downMs}, 0.1),
	'target-refuses': createSettingsKind(() => ({refusesAll: true})),
	'target-slow': createSettingsKind(() => ({slowMs: 400})),
	'target-crash': {
		...timing,
		async start({fleet}, {names: [hostId = '']}) {
			await fleet.crashTarget(hostId);
			return async () => fleet.startTarget(hostId);
		},
	},
	'target-leaves-by-list': {
		...leavingTiming,
		async start(context, {names: [hostId = '']}) {
			await context.fleet.updateListedHost(hostId, {state: 'leaving'});
			const end = noteLeaving(context, hostId, 'listed');
			return async () => {
				end();
				await context.fleet.updateListedHost(hostId, {state: 'live'});
			};
		},
	},
	'target-says-leaving': {
		...leavingTiming,
		maxPerRun: 2,
		recoveryMs: Number.POSITIVE_INFINITY,
		async start(context, {names: [hostId = '']}) {
			await context.fleet.setTarget(hostId, {isLeaving: true});
			noteLeaving(context, hostId, 'said');
			return async () => context.fleet.setTarget(hostId, {isLeaving: true});
		},
	},
};
