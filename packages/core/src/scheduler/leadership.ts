/** Which entry host schedules: it claims the ledger by an append at its end, and its token fences all others. */
import {activateJob, deactivateJobs} from './jobs.js';
import {addEffect, noteDecision, noteWarning} from './logging.js';
import {isFinal} from './phases.js';
import {dropCompleteRemovals, dropProgress} from './retention.js';
import {
	claimRetryMs, claimSpreadMs, leaderSilenceAtStartMs, leaderSilenceMs, leaderHeartbeatMs, shortfallClaimDelayMs,
} from './timing.js';
import {restoreWave} from './waves.js';
import type {LedgerEntry, SchedulerEvent} from './events.js';
import type {LedgerRecord} from './types.js';
import type {Claim, SchedulerSettings, SchedulerState} from './state.js';

type LedgerRead = Extract<SchedulerEvent, {type: 'ledger/read' | 'ledger/loaded'}>;
type ClaimEnded = Extract<SchedulerEvent, {type: 'claim/ended'}>;

/** Starts over from the whole ledger. */
export function loadLedger(state: SchedulerState, event: LedgerRead): void {
	for (const job of state.jobs.values()) {
		job.progress = undefined;
		job.phase = 'queued';
	}

	state.earlyProgress.clear();
	state.leadership.hasLoadedLedger = true;
	state.leadership.hasReadUpdates = false;
	state.leadership.lastRecordAt = state.now;
	readLedger(state, event);
	dropCompleteRemovals(state);
}

/** Applies what the leader wrote. */
export function readLedger(state: SchedulerState, event: LedgerRead): void {
	const {leadership} = state;
	for (const entry of event.entries) {
		applyRecord(state, entry);
	}

	confirmOwnClaim(state, event.entries);

	leadership.ledgerEnd = event.nextOffset;
	if (event.entries.length > 0) {
		leadership.lastRecordAt = state.now;
		leadership.hasReadUpdates = event.type === 'ledger/read';
	}
}

/** An own claim whose answer was lost is found by reading; what others have claimed behind it makes it void. */
function confirmOwnClaim(state: SchedulerState, entries: readonly LedgerEntry[]): void {
	const {leadership, settings} = state;
	const {claim, role} = leadership;
	const lease = entries.map(({record}) => record).findLast(record => record.type === 'lease')?.lease;
	if (role === 'claiming' && claim && lease?.holder === settings.holder && lease.token === claim.token && !lease.isReleased) {
		startLeading(state, claim);
	}
}

type RecordHandlers = {[K in LedgerRecord['type']]: (state: SchedulerState, record: Extract<LedgerRecord, {type: K}>) => void};

const recordHandlers: RecordHandlers = {
	lease({leadership, settings, now}, {lease}) {
		leadership.isReleased = lease.isReleased;
		leadership.claimNotBefore = now + computeClaimDelay(settings);
	},
	progress(state, {jobId, progress}) {
		const job = state.jobs.get(jobId);
		if (job) {
			job.progress = progress;
			job.phase = progress.phase;
		} else {
			state.earlyProgress.set(jobId, progress);
		}
	},
	'progress-removed'(state, {jobId}) {
		dropProgress(state, jobId);
	},
	waves(state, {waves}) {
		for (const wave of waves) {
			state.storedWaves.set(wave.wave, wave);
		}
	},
	orders(state, {machineIds}) {
		state.storedOrders = new Set(machineIds);
	},
	config(state, {config}) {
		if (!state.config || state.config.version < config.version) {
			noteConfigured(state);
			state.config = config;
			addEffect(state, {type: 'config/restored', config});
		}
	},
};

function applyRecord(state: SchedulerState, {record}: LedgerEntry): void {
	(recordHandlers[record.type] as (state: SchedulerState, record: LedgerRecord) => void)(state, record);
}

/** Hosts with much processor and a wide link claim first: the lead takes more of both than any other work. */
function computeClaimDelay({claimJitter, capacityShortfall}: SchedulerSettings): number {
	return (claimJitter * claimSpreadMs) + (capacityShortfall * shortfallClaimDelayMs);
}

/** Takes down when the first configuration came: until then a host cannot claim the lead. */
export function noteConfigured({leadership, config, now}: SchedulerState): void {
	leadership.configuredAt = config ? leadership.configuredAt : now;
}

/** Claims the lead when the ledger is silent, or was given back. */
export function tickLeadership(state: SchedulerState): void {
	const {leadership, settings} = state;
	if (leadership.role !== 'follower' || !leadership.hasLoadedLedger || state.isStopping || !state.config) {
		return;
	}

	const isVacant = leadership.isReleased || leadership.ledgerEnd === 0;
	const silentSince = Math.max(leadership.lastRecordAt, leadership.configuredAt);
	const leastSilenceMs = leadership.hasReadUpdates ? leaderSilenceMs : leaderSilenceAtStartMs;
	const silenceMs = isVacant ? settings.capacityShortfall * shortfallClaimDelayMs : leastSilenceMs + computeClaimDelay(settings);
	if (state.now < leadership.claimNotBefore || state.now < silentSince + silenceMs) {
		return;
	}

	const token = leadership.ledgerEnd + 1;
	leadership.role = 'claiming';
	// A repeat may be answered for the first one.
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
		noteDecision(state, 'answer-of-earlier-lead', {eventType: event.type, token: claim?.token});
		return;
	}

	if (event.outcome === 'granted') {
		startLeading(state, claim);
		return;
	}

	noteDecision(state, 'lead-not-granted', {outcome: event.outcome, at: event.claimedAt});
	// An unknown claim may still be granted: reading the ledger tells, and a new claim at the same end excludes it.
	leadership.claimNotBefore = state.now + claimRetryMs;
	leadership.role = event.outcome === 'unknown' ? 'claiming' : 'follower';
	leadership.retryClaimAt = event.outcome === 'unknown' ? state.now + claimRetryMs : undefined;
}

/** Repeats a claim whose answer was lost. */
export function tickClaim(state: SchedulerState): void {
	const {leadership} = state;
	if (leadership.role === 'claiming' && leadership.retryClaimAt !== undefined && state.now >= leadership.retryClaimAt) {
		leadership.retryClaimAt = undefined;
		leadership.role = 'follower';
	}
}

function startLeading(state: SchedulerState, {token, sentAt}: Claim): void {
	const {leadership} = state;
	leadership.role = 'leader';
	leadership.token = token;
	leadership.leaderSince = state.now;
	leadership.confirmedAt = sentAt;
	leadership.nextSequence = state.settings.firstSequence + 1;
	leadership.commit = undefined;
	leadership.isReleased = false;
	leadership.commitNotBefore = 0;
	leadership.heartbeatDueAt = state.now + leaderHeartbeatMs;
	state.pendingActions = [];
	state.workers.clear();
	state.machines.clear();
	state.ownOrders.clear();
	state.endedWorkers.clear();
	state.machinesDueAt = 0;
	state.isListingMachines = false;
	state.adviceRequest = undefined;
	state.isConfigDirty = true;
	for (const job of state.jobs.values()) {
		if (!isFinal(job.phase)) {
			activateJob(state, job);
		}
	}

	for (const wave of state.waves.values()) {
		restoreWave(state, wave);
	}

	noteDecision(state, 'lead-taken', {token, jobs: state.liveJobs.size, workers: state.workers.size});
}

/** Another host leads: nothing more is ordered, and all is read again. */
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
	deactivateJobs(state);
	state.workers.clear();
	state.machines.clear();
	addEffect(state, {type: 'ledger/reload'});
}

/** Gives the lead back before the process ends. */
export function releaseLeadership(state: SchedulerState): void {
	const {leadership, settings} = state;
	state.isStopping = true;
	if (leadership.role !== 'leader') {
		leadership.role = 'retired';
		return;
	}

	// Changes that are not stored yet are found again by the next leader.
	if (leadership.commit) {
		return;
	}

	noteDecision(state, 'lead-released', {token: leadership.token});
	addEffect(state, {
		type: 'ledger/commit',
		token: leadership.token,
		sequence: leadership.nextSequence++,
		records: [{type: 'lease', lease: {holder: settings.holder, token: leadership.token, isReleased: true}}],
	});
	leadership.role = 'retired';
	deactivateJobs(state);
	state.workers.clear();
}

