/** Leader election: a host becomes the leader by a conditional append to the end of the ledger, and its fencing token excludes all earlier leaders. */
import {clearAccountUse} from './account-use.js';
import {activateJob, deactivateJobs} from './jobs.js';
import {
	addEffect, describeError, noteDecision, noteWarning,
} from './logging.js';
import {computeEarlierCallEnd, computeEarlierLeaseEnd} from './earlier-leases.js';
import {resetLoad} from './load-view.js';
import {describeOpenLeases, listOpenLeases} from './open-leases.js';
import {isFinal} from './phases.js';
import {
	claimRetryMs, claimJitterMs, handoverClaimDelayMs, leaderSilenceAtStartMs, leaderSilenceMs, leaderHeartbeatMs, never, shortfallClaimDelayMs,
} from './timing.js';
import {createCallWindow} from './call-window.js';
import {restoreRunTimes} from './run-time-record.js';
import {restoreWave} from './waves.js';
import type {SchedulerEvent} from './events.js';
import type {SteadyMs} from './types.js';
import type {
	Claim, Job, SchedulerSettings, SchedulerState,
} from './state.js';

type ClaimEnded = Extract<SchedulerEvent, {type: 'claim/ended'}>;

/** Hosts with ample processor time and network bandwidth claim first: leadership takes more of both than any other work. */
export function computeClaimDelay({claimJitter, capacityShortfall}: SchedulerSettings): number {
	return (claimJitter * claimJitterMs) + (capacityShortfall * shortfallClaimDelayMs);
}

/** Records when the first configuration arrived: before that, a host cannot claim leadership. Must run before the configuration is replaced. */
export function noteConfigured({leadership, config, now}: SchedulerState): void {
	leadership.configuredAt = config ? leadership.configuredAt : now;
}

/** True if this host may claim leadership once the ledger has been silent for long enough. */
function isCandidate({leadership, isStopping, config}: SchedulerState): boolean {
	return leadership.role === 'follower' && leadership.hasLoadedLedger && !leadership.isSilenceUnknown && !isStopping && config !== undefined;
}

/** When a candidate claims leadership unless it reads new ledger records before. */
function getClaimAt({leadership, settings}: SchedulerState): SteadyMs {
	const isVacant = leadership.isReleased || leadership.ledgerEnd === 0;
	const silentSince = Math.max(leadership.lastRecordAt, leadership.configuredAt);
	const leastSilenceMs = leadership.hasReadUpdates ? leaderSilenceMs : leaderSilenceAtStartMs;
	const silenceMs = isVacant ? settings.capacityShortfall * shortfallClaimDelayMs : leastSilenceMs + computeClaimDelay(settings);
	return Math.max(leadership.claimNotBefore, silentSince + silenceMs);
}

/** When a host that does not lead has to look again whether it may claim leadership; `never` if that depends on something it has yet to read. */
export function getNextLeadershipCheck(state: SchedulerState): SteadyMs {
	if (isCandidate(state)) {
		return getClaimAt(state);
	}

	return state.leadership.isSilenceUnknown ? never : (state.leadership.retryClaimAt ?? never);
}

/** Claims leadership when the ledger has had no new records for too long, is empty, or the last leader released it. */
export function tickLeadership(state: SchedulerState): void {
	const {leadership, settings} = state;
	if (!isCandidate(state) || state.now < getClaimAt(state)) {
		return;
	}

	const token = leadership.ledgerEnd + 1;
	leadership.role = 'claiming';
	// A repeated claim keeps the time of the first: the store may answer for the first one.
	leadership.claim = leadership.claim?.token === token ? leadership.claim : {token, sentAt: state.now};
	noteDecision(state, 'lead-claimed', {at: leadership.ledgerEnd, silentMs: Math.round(state.now - leadership.lastRecordAt), isReleased: leadership.isReleased});
	addEffect(state, {
		type: 'ledger/claim', at: leadership.ledgerEnd, token, sequence: settings.firstSequence, holder: settings.holder,
	});
}

/** Handles the outcome of a claim. */
export function handleClaim(state: SchedulerState, event: ClaimEnded): void {
	const {leadership} = state;
	const {claim} = leadership;
	if (leadership.role !== 'claiming') {
		return;
	}

	if (claim?.token !== event.claimedAt + 1) {
		// The answer belongs to an earlier claim of this host; `token` is the one that the current claim asks for.
		noteDecision(state, 'answer-of-earlier-lead', {eventType: event.type, token: claim?.token});
		return;
	}

	if (event.outcome === 'granted') {
		startLeading(state, claim);
		return;
	}

	noteDecision(state, 'lead-not-granted', {outcome: event.outcome, at: event.claimedAt});
	// A claim of unknown outcome may still be granted. Reading the ledger reveals that, and a new claim at the same offset excludes it.
	leadership.claimNotBefore = state.now + claimRetryMs;
	leadership.role = event.outcome === 'unknown' ? 'claiming' : 'follower';
	leadership.retryClaimAt = event.outcome === 'unknown' ? state.now + claimRetryMs : undefined;
	// A store that does not take claims takes no records of a leader either.
	leadership.isSilenceUnknown = event.outcome !== 'lost';
}

/** Allows another claim after one whose answer was lost. */
export function tickClaim(state: SchedulerState): void {
	const {leadership} = state;
	if (leadership.role === 'claiming' && !leadership.isSilenceUnknown && leadership.retryClaimAt !== undefined && state.now >= leadership.retryClaimAt) {
		leadership.retryClaimAt = undefined;
		leadership.role = 'follower';
	}
}

/** Begins a leadership term after a granted claim. */
export function startLeading(state: SchedulerState, {token, sentAt}: Claim): void {
	const {leadership} = state;
	leadership.role = 'leader';
	leadership.isHandingOver = false;
	leadership.earlierLeasesUntil = computeEarlierLeaseEnd(state);
	leadership.earlierCallsUntil = computeEarlierCallEnd(leadership);
	leadership.token = token;
	leadership.leaderSince = state.now;
	leadership.confirmedAt = sentAt;
	leadership.nextSequence = state.settings.firstSequence + 1;
	leadership.nextCommitNumber = 1;
	leadership.commit = undefined;
	const {isReleased} = leadership;
	leadership.isReleased = false;
	leadership.commitNotBefore = 0;
	leadership.heartbeatDueAt = state.now + leaderHeartbeatMs;
	leadership.openLeasesDueAt = state.now;
	state.pendingActions = [];
	state.callWindow = createCallWindow();
	state.workers.clear();
	// The token of this term is higher than that of any call before.
	state.workerRestarts.clear();
	clearAccountUse(state);
	state.machines.clear();
	// Orders of the former leader count as own ones, sent now: the next leader must know of them too.
	state.ownOrders.clear();
	for (const machineId of state.storedOrders) {
		state.ownOrders.set(machineId, state.now);
	}

	resetLoad(state);
	state.endedWorkers.clear();
	state.machinesDueAt = 0;
	state.isListingMachines = false;
	state.adviceRequest = undefined;
	state.isConfigDirty = true;
	restoreRunTimes(state);
	for (const job of state.jobs.values()) {
		// Runs of a failed job may go on. The rows of completed jobs are not decoded, as there may be very many.
		if (job.phase === 'failed' || !isFinal(job.phase)) {
			resumeJob(state, job);
		}
	}

	for (const wave of state.waves.values()) {
		restoreWave(state, wave);
	}

	noteDecision(state, 'lead-taken', {
		token, jobs: state.liveJobs.size, workers: state.workers.size, isReleased, earlierLeasesMs: Math.round(leadership.earlierLeasesUntil - state.now), areOpenLeasesKnown: leadership.openLeases !== undefined,
	});
}

/** One job whose stored progress cannot be read must not keep a new leader from the others. */
function resumeJob(state: SchedulerState, job: Job): void {
	try {
		activateJob(state, job);
	} catch (error) {
		noteWarning(state, 'job-not-resumed', {jobId: job.definition.jobId, reason: describeError(error)});
	}
}

/** Ends this host's leadership: it sends no more orders, and reads the whole ledger again. */
export function stopLeading(state: SchedulerState, reason: string): void {
	const {leadership} = state;
	if (leadership.role !== 'leader') {
		return;
	}

	noteWarning(state, 'lead-lost', {reason, token: leadership.token});
	leadership.role = state.isStopping ? 'retired' : 'follower';
	leadership.commit = undefined;
	leadership.hasLoadedLedger = false;
	leadership.claimNotBefore = state.now + claimRetryMs;
	leadership.lastRecordAt = state.now;
	state.pendingActions = [];
	state.callWindow = createCallWindow();
	deactivateJobs(state);
	state.workers.clear();
	clearAccountUse(state);
	state.machines.clear();
	addEffect(state, {type: 'ledger/reload'});
}

/** Notes that a host of this capacity has handed over; hosts that are not stronger claim later. */
export function noteHandover({leadership, settings, now}: SchedulerState, capacityShortfall: number): void {
	leadership.latestHandover = {capacityShortfall, readAt: now};
	if (settings.capacityShortfall >= capacityShortfall) {
		leadership.claimNotBefore = Math.max(leadership.claimNotBefore, now + computeClaimDelay(settings) + handoverClaimDelayMs);
	}
}

/** Releases leadership because this host cannot keep up. It may claim again later, as it then reads. No append may be under way. */
export function passLeadership(state: SchedulerState): void {
	const {settings: {capacityShortfall}} = state;
	addRelease(state, capacityShortfall);
	stopLeading(state, 'this host cannot keep up');
	noteHandover(state, capacityShortfall);
}

/** Appends the record that ends this host's term. */
function addRelease(state: SchedulerState, capacityShortfall?: number): void {
	const {leadership, settings: {holder}} = state;
	const {token} = leadership;
	addEffect(state, {
		type: 'ledger/commit',
		token,
		sequence: leadership.nextSequence++,
		records: [{
			type: 'lease', lease: {
				holder, token, isReleased: true, ...(capacityShortfall !== undefined && {capacityShortfall}), openLeases: listOpenLeases(state),
			},
		}],
	});
}

/** Releases leadership before the process ends. */
export function releaseLeadership(state: SchedulerState): void {
	const {leadership} = state;
	state.isStopping = true;
	if (leadership.role !== 'leader') {
		leadership.role = 'retired';
		return;
	}

	// The release waits for the append under way. The next leader finds any changes that are not stored by then again.
	if (leadership.commit) {
		return;
	}

	noteDecision(state, 'lead-released', {token: leadership.token, openLeases: describeOpenLeases(listOpenLeases(state))});
	addRelease(state);
	leadership.role = 'retired';
	deactivateJobs(state);
	state.workers.clear();
	clearAccountUse(state);
}

