/** Applies what a host reads of the ledger, which only leaders write. */
import {noteLeaseRecord, noteLedgerLoaded} from './earlier-leases.js';
import {
	computeClaimDelay, noteConfigured, noteHandover, startLeading,
} from './leadership.js';
import {applyLoad, noteLease} from './load-view.js';
import {addEffect, describeError, noteWarning} from './logging.js';
import {dropOpenLeases, noteOpenLeases, noteStoredProgress} from './open-leases.js';
import {applyPart} from './progress-parts.js';
import {dropFinishedRemovals, dropProgress} from './retention.js';
import type {LedgerEntry, SchedulerEvent} from './events.js';
import type {LedgerRecord} from './types.js';
import type {SchedulerState} from './state.js';

type LedgerRead = Extract<SchedulerEvent, {type: 'ledger/read' | 'ledger/loaded'}>;

/** Replaces what was read of the ledger by a full read of it. */
export function loadLedger(state: SchedulerState, event: LedgerRead): void {
	for (const job of state.jobs.values()) {
		job.progress = undefined;
		job.phase = 'queued';
	}

	state.earlyProgress.clear();
	state.progressParts.clear();
	state.leadership.hasLoadedLedger = true;
	state.leadership.hasReadUpdates = false;
	state.leadership.lastRecordAt = state.now;
	noteLedgerLoaded(state);
	readLedger(state, event);
	// Figures read with the whole ledger may be of any age.
	state.load.view = undefined;
	dropFinishedRemovals(state);
}

/** Applies new ledger records. */
export function readLedger(state: SchedulerState, event: LedgerRead): void {
	const {leadership} = state;
	if (leadership.isSilenceUnknown) {
		leadership.isSilenceUnknown = false;
		leadership.lastRecordAt = state.now;
		leadership.hasReadUpdates = false;
	}

	for (const entry of event.entries) {
		applyRecord(state, entry);
	}

	if (event.type === 'ledger/loaded') {
		dropOpenLeases(state);
	}

	confirmOwnClaim(state, event.entries);

	leadership.ledgerEnd = event.nextOffset;
	if (event.entries.length > 0) {
		leadership.lastRecordAt = state.now;
		leadership.hasReadUpdates = event.type === 'ledger/read';
	}
}

/** A granted claim whose answer was lost shows up when the ledger is read. The claim counts only if no later lease record follows it. */
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
	lease(state, {lease}) {
		const {leadership, settings, now} = state;
		noteLease(state, lease);
		noteLeaseRecord(state, lease);
		noteOpenLeases(state, lease);
		leadership.isReleased = lease.isReleased;
		leadership.claimNotBefore = now + computeClaimDelay(settings);
		if (lease.capacityShortfall !== undefined) {
			noteHandover(state, lease.capacityShortfall);
		}
	},
	progress(state, {jobId, progress}) {
		noteStoredProgress(state, jobId);
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
	'progress-part'(state, record) {
		noteStoredProgress(state, record.jobId);
		applyPart(state, record.jobId, record.part, record);
	},
	'progress-part-removed'(state, {jobId, part}) {
		applyPart(state, jobId, part, undefined);
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
	'run-times'(state, record) {
		// Its rows are not read here: they may be decoded only when they are asked for.
		state.storedRunTimes = record;
	},
	load(state, {load}) {
		applyLoad(state, load);
	},
};

/** The read offset advances past the whole batch, so one record that cannot be applied must not make the records after it be skipped. */
function applyRecord(state: SchedulerState, {offset, record}: LedgerEntry): void {
	try {
		(recordHandlers[record.type] as (state: SchedulerState, record: LedgerRecord) => void)(state, record);
	} catch (error) {
		noteWarning(state, 'record-not-applied', {recordType: record.type, offset, reason: describeError(error)});
	}
}
