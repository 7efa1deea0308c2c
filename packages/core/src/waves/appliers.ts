/** State machine appliers of records about waves and outages. Each record is validated against the state at its offset. */
import type {RecordOutcome} from '../fleet/apply-record.js';
import {accepted, rejectRecord, type BodyApplier} from '../fleet/outcomes.js';
import type {FleetState} from '../fleet/state.js';
import {validateTerm} from '../planner/lease.js';
import type {ChainStepBody} from '../pools/bodies.js';
import {checkAvailabilityBudget, listPoolHosts} from '../pools/budget.js';
import type {FleetHost, Outage} from '../pools/state.js';
import type {HostId} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {
	OutageEndBody, OutageGrantBody, WaveBody, WaveCancelBody, WaveDomainBodies,
} from './bodies.js';
import {maximumFailuresPerHost, type Wave, type WaveHost} from './state.js';

export const waveAppliers: {readonly [Name in keyof WaveDomainBodies]: BodyApplier<WaveDomainBodies[Name]>} = {
	wave: applyWave,
	'wave-cancel': applyWaveCancel,
	'outage-grant': applyOutageGrant,
	'host-drained': createOutageStep('granted', 'drained'),
	'host-rebooted': createOutageStep('drained', 'rebooted'),
	'outage-end': applyOutageEnd,
	'outage-return': applyOutageReturn,
};

function applyWave(fleet: FleetState, logged: LoggedRecord, body: WaveBody): RecordOutcome {
	if (fleet.waves.has(body.waveId)) {
		return rejectRecord(`wave ${body.waveId} exists`);
	}

	if (!fleet.pools.has(body.pool)) {
		return rejectRecord(`pool ${body.pool} is unknown`);
	}

	const members = new Set(listPoolHosts(fleet, body.pool).map(host => host.hostId));
	const foreignHost = body.hosts?.find(hostId => !members.has(hostId));
	if (foreignHost !== undefined) {
		return rejectRecord(`host ${foreignHost} does not belong to pool ${body.pool}`);
	}

	fleet.waves.set(body.waveId, {
		offset: logged.offset,
		body,
		acceptedAt: logged.at,
		hosts: [...new Set(body.hosts ?? members)].map(hostId => ({hostId, state: 'waiting', failures: 0})),
		isCancelled: false,
	});
	return accepted;
}

function applyWaveCancel(fleet: FleetState, _logged: LoggedRecord, body: WaveCancelBody): RecordOutcome {
	const wave = fleet.waves.get(body.waveId);
	if (!wave) {
		return rejectRecord(`wave ${body.waveId} is unknown`);
	}

	wave.isCancelled = true;
	return accepted;
}

function applyOutageGrant(fleet: FleetState, logged: LoggedRecord, body: OutageGrantBody): RecordOutcome {
	const wave = fleet.waves.get(body.waveId);
	const host = fleet.hosts.get(body.hostId);
	const waveHost = wave && findWaveHost(wave, body.hostId);
	if (!host || !wave || !waveHost) {
		return rejectRecord(`wave ${body.waveId} has no host ${body.hostId}`);
	}

	const reason = validateTerm(fleet, body.term) ?? validateGrant(wave, waveHost, host, logged) ?? checkAvailabilityBudget(fleet, host);
	if (reason !== undefined) {
		return rejectRecord(reason);
	}

	waveHost.state = 'out';
	host.chainCount += 1;
	host.chain = {
		kind: 'outage', waveId: body.waveId, operationId: body.operationId, drainDeadline: body.drainDeadline, term: body.term, step: 'granted',
	};
	return accepted;
}

function validateGrant(wave: Wave, waveHost: WaveHost, host: FleetHost, logged: LoggedRecord): string | undefined {
	if (wave.isCancelled || logged.at >= wave.body.finishBy) {
		return `wave ${wave.body.waveId} takes no more hosts out`;
	}

	if (waveHost.state !== 'waiting') {
		return `host ${waveHost.hostId} is ${waveHost.state} in this wave`;
	}

	return host.pool === wave.body.pool ? undefined : `host ${host.hostId} has left pool ${wave.body.pool}`;
}

type OutageChange = (fleet: FleetState, host: FleetHost, chain: Outage) => void;

/** Applies a change to an outage if it is at one of the steps in `from` and the record's term is the one in force. */
function applyOutageStep(fleet: FleetState, body: ChainStepBody, from: ReadonlyArray<Outage['step']>, change: OutageChange): RecordOutcome {
	const host = fleet.hosts.get(body.hostId);
	const chain = host?.chain;
	if (chain?.kind !== 'outage' || !from.includes(chain.step) || chain.operationId !== body.operationId) {
		return rejectRecord(`host ${body.hostId} has no outage ${body.operationId} at step ${from.join(' or ')}`);
	}

	const reason = validateTerm(fleet, body.term);
	if (reason !== undefined) {
		return rejectRecord(reason);
	}

	change(fleet, host!, chain);
	return accepted;
}

function createOutageStep(from: Outage['step'], to: Outage['step']): BodyApplier<ChainStepBody> {
	return (fleet, _logged, body) => applyOutageStep(fleet, body, [from], (_fleet, host, chain) => {
		host.chain = {...chain, step: to};
	});
}

const endableSteps = {rebooted: ['rebooted'], failed: ['granted', 'drained', 'rebooted']} as const;

function applyOutageEnd(fleet: FleetState, _logged: LoggedRecord, body: OutageEndBody): RecordOutcome {
	return applyOutageStep(fleet, body, endableSteps[body.outcome], createOutageEnding(waveHost => {
		endWaveHost(waveHost, body.outcome);
	}));
}

/** Returns a host to service before its drain has ended. This is not a failure of the host, so it does not count towards `maximumFailuresPerHost`. */
function applyOutageReturn(fleet: FleetState, _logged: LoggedRecord, body: ChainStepBody): RecordOutcome {
	return applyOutageStep(fleet, body, ['granted'], createOutageEnding(waveHost => {
		waveHost.state = 'waiting';
	}));
}

/** Returns a change that puts the host back in service and updates its entry in the wave. */
function createOutageEnding(updateWaveHost: (waveHost: WaveHost) => void): OutageChange {
	return (fleet, host, chain) => {
		const wave = fleet.waves.get(chain.waveId);
		const waveHost = wave && findWaveHost(wave, host.hostId);
		if (waveHost) {
			updateWaveHost(waveHost);
		}

		host.chain = undefined;
	};
}

function endWaveHost(waveHost: WaveHost, outcome: OutageEndBody['outcome']): void {
	if (outcome === 'rebooted') {
		waveHost.state = 'rebooted';
		return;
	}

	waveHost.failures += 1;
	waveHost.state = waveHost.failures < maximumFailuresPerHost ? 'waiting' : 'given-up';
}

function findWaveHost(wave: Wave, hostId: HostId): WaveHost | undefined {
	return wave.hosts.find(host => host.hostId === hostId);
}
