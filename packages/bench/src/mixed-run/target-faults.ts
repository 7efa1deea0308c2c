/** Faults of targets: of their answers, refusals, crashes and leaving. */
import type {AnswerFault, TargetSettings} from '@rhubarblever/stand-ins';
import type {FaultKind, FaultTable, Stage} from './fault-kinds.js';
import {services, targetsPerZone, zones} from './fleet-shape.js';
import type {Leaving} from './journal.js';

const targets = services.flatMap(service => zones.flatMap(zone =>
	Array.from({length: targetsPerZone}, (_, index) => [`runner-${service}-${zone}-${index + 1}`])));

const timing = {
	victims: targets, shortestMs: 2000, longestMs: 12_000, recoveryMs: 1500,
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

/** Notes that a target leaves; the result notes the end. */
function noteLeaving({journal}: Stage, hostId: string, how: Leaving['how']): () => void {
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
		async start(stage, {names: [hostId = '']}) {
			await stage.fleet.updateListedHost(hostId, {state: 'leaving'});
			const end = noteLeaving(stage, hostId, 'listed');
			return async () => {
				end();
				await stage.fleet.updateListedHost(hostId, {state: 'live'});
			};
		},
	},
	'target-says-leaving': {
		...leavingTiming,
		mostPerRun: 2,
		recoveryMs: Number.POSITIVE_INFINITY,
		async start(stage, {names: [hostId = '']}) {
			await stage.fleet.setTarget(hostId, {isLeaving: true});
			noteLeaving(stage, hostId, 'said');
			return async () => stage.fleet.setTarget(hostId, {isLeaving: true});
		},
	},
};
