/** The fold's rules for waves and outages: each record is judged at its place in the log. */
import type {RecordOutcome} from '../fleet/apply-record.js';
import {accepted, refuseRecord, type BodyApplier} from '../fleet/outcomes.js';
import type {FleetState} from '../fleet/state.js';
import {validateTerm} from '../planner/lease.js';
import type {ChainStepBody} from '../pools/bodies.js';
import {judgeLeaving, listPoolHosts} from '../pools/budget.js';
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
		return refuseRecord(`wave ${body.waveId} exists`);
	}

	if (!fleet.pools.has(body.pool)) {
		return refuseRecord(`pool ${body.pool} is unknown`);
	}

	const members = new Set(listPoolHosts(fleet, body.pool).map(host => host.hostId));
	const stranger = body.hosts?.find(hostId => !members.has(hostId));
	if (stranger !== undefined) {
		return refuseRecord(`host ${stranger} does not belong to pool ${body.pool}`);
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
		return refuseRecord(`wave ${body.waveId} is unknown`);
	}

	wave.isCancelled = true;
	return accepted;
}

function applyOutageGrant(fleet: FleetState, logged: LoggedRecord, body: OutageGrantBody): RecordOutcome {
	const wave = fleet.waves.get(body.waveId);
	const host = fleet.hosts.get(body.hostId);
	const waveHost = wave && findWaveHost(wave, body.hostId);
	if (!host || !wave || !waveHost) {
		return refuseRecord(`wave ${body.waveId} has no host ${body.hostId}`);
	}

	const reason = validateTerm(fleet, body.term) ?? judgeGrant(wave, waveHost, host, logged) ?? judgeLeaving(fleet, host);
	if (reason !== undefined) {
		return refuseRecord(reason);
	}

	waveHost.state = 'out';
	host.chainCount += 1;
	host.chain = {
		kind: 'outage', waveId: body.waveId, operationId: body.operationId, drainDeadline: body.drainDeadline, term: body.term, step: 'granted',
	};
	return accepted;
}

function judgeGrant(wave: Wave, waveHost: WaveHost, host: FleetHost, logged: LoggedRecord): string | undefined {
	if (wave.isCancelled || logged.at >= wave.body.finishBy) {
		return `wave ${wave.body.waveId} takes no more hosts out`;
	}

	if (waveHost.state !== 'waiting') {
		return `host ${waveHost.hostId} is ${waveHost.state} in this wave`;
	}

	return host.pool === wave.body.pool ? undefined : `host ${host.hostId} has left pool ${wave.body.pool}`;
}

type OutageChange = (fleet: FleetState, host: FleetHost, chain: Outage) => void;

/** Changes an outage that is at one of these steps, in the term in force. */
function applyOutageStep(fleet: FleetState, body: ChainStepBody, from: ReadonlyArray<Outage['step']>, change: OutageChange): RecordOutcome {
	const host = fleet.hosts.get(body.hostId);
	const chain = host?.chain;
	if (chain?.kind !== 'outage' || !from.includes(chain.step) || chain.operationId !== body.operationId) {
		return refuseRecord(`host ${body.hostId} has no outage ${body.operationId} at step ${from.join(' or ')}`);
	}

	const reason = validateTerm(fleet, body.term);
	if (reason !== undefined) {
		return refuseRecord(reason);
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
	return applyOutageStep(fleet, body, endableSteps[body.outcome], createOutageClose(waveHost => {
		endWaveHost(waveHost, body.outcome);
	}));
}

/** No failure of the host: it is tried as often as before. */
function applyOutageReturn(fleet: FleetState, _logged: LoggedRecord, body: ChainStepBody): RecordOutcome {
	return applyOutageStep(fleet, body, ['granted'], createOutageClose(waveHost => {
		waveHost.state = 'waiting';
	}));
}

/** The host is in service again; its wave takes note. */
function createOutageClose(note: (waveHost: WaveHost) => void): OutageChange {
	return (fleet, host, chain) => {
		const wave = fleet.waves.get(chain.waveId);
		const waveHost = wave && findWaveHost(wave, host.hostId);
		if (waveHost) {
			note(waveHost);
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
