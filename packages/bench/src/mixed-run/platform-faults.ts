/** Faults of the platform: outages, slowness, lost answers, an old log, lags. */
import type {PlatformSettings} from '@rhubarblever/stand-ins';
import type {FaultKind, FaultTable, Stage} from './fault-kinds.js';
import type {PlannedFault} from './schedule.js';

type Patch = Partial<PlatformSettings>;

async function updatePlatform({fleet}: Stage, patch: Readonly<Record<string, unknown>>): Promise<void> {
	await fleet.callPlatform('PUT', '/v1/control/faults', patch);
}

/** A kind that changes one setting; `isAway` says that the platform tells no host anything meanwhile. */
function createKind(setting: keyof PlatformSettings, createPatch: (fault: PlannedFault) => Patch, isAway = false): FaultKind {
	return {
		victims: [[`platform-${setting}`]],
		shortestMs: 1000,
		longestMs: 10_000,
		recoveryMs: 2000,
		async start(stage, fault) {
			const from = Date.now();
			await updatePlatform(stage, createPatch(fault));
			return async () => {
				await updatePlatform(stage, {[setting]: null});
				if (isAway) {
					stage.journal.platformAway.push({from, to: Date.now()});
				}
			};
		},
	};
}

function createOutage(outageKind: PlatformSettings['outageKind']): FaultKind {
	return createKind('outageUntil', ({durationMs}) => ({outageUntil: Date.now() + (2 * durationMs), outageKind}), true);
}

/** Of each call, in milliseconds. */
const slowestMs = 3000;

export const platformFaults: FaultTable = {
	'platform-resets': createOutage('reset'),
	'platform-hangs': createOutage('hang'),
	'platform-unavailable': createOutage('unavailable'),
	'platform-slow': createKind('slowMs', ({seed}) => ({slowMs: seed % slowestMs}), true),
	'platform-loses-answers': createKind('loseAnswers', ({seed}) => ({loseAnswers: {probability: 0.3, seed, methods: ['POST']}})),
	'platform-loses-all-answers': createKind('loseAnswers', ({seed}) => ({loseAnswers: {probability: 0.3, seed, methods: ['GET', 'POST']}})),
	'platform-refuses-appends': createKind('appendsPerSecond', () => ({appendsPerSecond: 3})),
	'platform-old-log': createKind('staleLogOffset', ({seed}) => ({staleLogOffset: seed % 50}), true),
	'platform-lags': createKind('hostListLagMs', () => ({hostListLagMs: 2000})),
	'worker-reports-lag': createKind('reportLagMs', () => ({reportLagMs: 3000})),
};
