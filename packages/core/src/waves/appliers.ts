/** The fold's rules for waves and outages: each record is judged at its place in the log. */
import type {RecordOutcome} from '../fleet/apply-record.js';
import type {FleetState} from '../fleet/state.js';
import {judgeTerm} from '../planner/lease.js';
import {accepted, refuseRecord, type BodyApplier} from '../pools/appliers.js';
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

	const reason = judgeTerm(fleet, body.term) ?? judgeGrant(wave, waveHost, host, logged) ?? judgeLeaving(fleet, host);
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

function createOutageStep(from: Outage['step'], to: Outage['step']): BodyApplier<ChainStepBody> {
	return (fleet, _logged, body) => {
		const host = fleet.hosts.get(body.hostId);
		const reason = judgeOutageStep(fleet, host, body, [from]);
		if (reason !== undefined || host?.chain?.kind !== 'outage') {
			return refuseRecord(reason ?? '');
		}

		host.chain = {...host.chain, step: to};
		return accepted;
	};
}

const endableSteps = {rebooted: ['rebooted'], failed: ['granted', 'drained', 'rebooted']} as const;

function applyOutageEnd(fleet: FleetState, _logged: LoggedRecord, body: OutageEndBody): RecordOutcome {
	const host = fleet.hosts.get(body.hostId);
	const reason = judgeOutageStep(fleet, host, body, endableSteps[body.outcome]);
	if (reason !== undefined || host?.chain?.kind !== 'outage') {
		return refuseRecord(reason ?? '');
	}

	const wave = fleet.waves.get(host.chain.waveId);
	const waveHost = wave && findWaveHost(wave, body.hostId);
	if (waveHost) {
		endWaveHost(waveHost, body.outcome);
	}

	host.chain = undefined;
	return accepted;
}

/** No failure of the host: it is tried as often as before. */
function applyOutageReturn(fleet: FleetState, _logged: LoggedRecord, body: ChainStepBody): RecordOutcome {
	const host = fleet.hosts.get(body.hostId);
	const reason = judgeOutageStep(fleet, host, body, ['granted']);
	if (reason !== undefined || host?.chain?.kind !== 'outage') {
		return refuseRecord(reason ?? '');
	}

	const wave = fleet.waves.get(host.chain.waveId);
	const waveHost = wave && findWaveHost(wave, body.hostId);
	if (waveHost) {
		waveHost.state = 'waiting';
	}

	host.chain = undefined;
	return accepted;
}

function endWaveHost(waveHost: WaveHost, outcome: OutageEndBody['outcome']): void {
	if (outcome === 'rebooted') {
		waveHost.state = 'rebooted';
		return;
	}

	waveHost.failures += 1;
	waveHost.state = waveHost.failures < maximumFailuresPerHost ? 'waiting' : 'given-up';
}

function judgeOutageStep(fleet: FleetState, host: FleetHost | undefined, body: ChainStepBody, from: ReadonlyArray<Outage['step']>): string | undefined {
	const chain = host?.chain;
	if (chain?.kind !== 'outage' || !from.includes(chain.step) || chain.operationId !== body.operationId) {
		return `host ${body.hostId} has no outage ${body.operationId} at step ${from.join(' or ')}`;
	}

	return judgeTerm(fleet, body.term);
}

function findWaveHost(wave: Wave, hostId: HostId): WaveHost | undefined {
	return wave.hosts.find(host => host.hostId === hostId);
}
