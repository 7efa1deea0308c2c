/** Faults of the platform: outages, slow or lost answers, stale log reads and lagging lists. */
import type {PlatformSettings} from '@rhubarblever/stand-ins';
import type {FaultKind, FaultTable, FaultContext} from './fault-kinds.js';
import type {PlannedFault} from './schedule.js';

type Patch = Partial<PlatformSettings>;

async function updatePlatform({fleet}: FaultContext, patch: Readonly<Record<string, unknown>>): Promise<void> {
	await fleet.callPlatform('PUT', '/v1/control/faults', patch);
}

/** A kind that changes one setting; `isUnavailable`: meanwhile hosts cannot rely on news from the platform. */
function createKind(setting: keyof PlatformSettings, createPatch: (fault: PlannedFault) => Patch, isUnavailable = false): FaultKind {
	return {
		candidates: [[`platform-${setting}`]],
		shortestMs: 1000,
		longestMs: 10_000,
		recoveryMs: 2000,
		async start(context, fault) {
			const from = Date.now();
			await updatePlatform(context, createPatch(fault));
			return async () => {
				await updatePlatform(context, {[setting]: null});
				if (isUnavailable) {
					context.journal.platformUnavailabilities.push({from, to: Date.now()});
				}
			};
		},
	};
}

function createOutage(outageKind: PlatformSettings['outageKind']): FaultKind {
	return createKind('outageUntil', ({durationMs}) => ({outageUntil: Date.now() + (2 * durationMs), outageKind}), true);
}

/** Upper bound of the delay of each call, in milliseconds. */
const maxSlowMs = 3000;

export const platformFaults: FaultTable = {
	'platform-resets': createOutage('reset'),
	'platform-hangs': createOutage('hang'),
	'platform-unavailable': createOutage('unavailable'),
	'platform-slow': createKind('slowMs', ({seed}) => ({slowMs: seed % maxSlowMs}), true),
	'platform-loses-answers': createKind('loseAnswers', ({seed}) => ({loseAnswers: {probability: 0.3, seed, methods: ['POST']}})),
	'platform-loses-all-answers': createKind('loseAnswers', ({seed}) => ({loseAnswers: {probability: 0.3, seed, methods: ['GET', 'POST']}})),
	'platform-refuses-appends': createKind('appendsPerSecond', () => ({appendsPerSecond: 3})),
	'platform-old-log': createKind('staleLogOffset', ({seed}) => ({staleLogOffset: seed % 50}), true),
	'platform-lags': createKind('hostListLagMs', () => ({hostListLagMs: 2000})),
	'worker-reports-lag': createKind('reportLagMs', () => ({reportLagMs: 3000})),
};
