/** State machine appliers of records about hosts and their moves between pools. Each record is validated against the state at its offset. */
import type {RecordOutcome} from '../fleet/apply-record.js';
import {accepted, rejectRecord, type BodyApplier} from '../fleet/outcomes.js';
import type {FleetState} from '../fleet/state.js';
import {validateTerm} from '../planner/lease.js';
import type {LoggedRecord} from '../types/records.js';
import type {
	ChainStepBody, HostBody, HostHealthBody, MoveBody, MoveLendBody, PoolDomainBodies,
} from './bodies.js';
import {checkAvailabilityBudget} from './budget.js';
import type {FleetHost, Move} from './state.js';

export const poolAppliers: {readonly [Name in keyof PoolDomainBodies]: BodyApplier<PoolDomainBodies[Name]>} = {
	host: applyHost,
	move: applyMove,
	'host-health': applyHostHealth,
	'move-lend': applyMoveLend,
	'move-drained': createMoveStep('lent', (host, move) => {
		host.chain = {...move, step: 'drained'};
	}),
	'move-released': createMoveStep('drained', (host, move) => {
		host.chain = {...move, step: 'released'};
	}),
	'move-joined': createMoveStep('released', (host, move) => {
		host.pool = move.to;
		host.chain = undefined;
		host.requestedPool = undefined;
	}),
};

function applyHost(fleet: FleetState, logged: LoggedRecord, body: HostBody): RecordOutcome {
	const known = fleet.hosts.get(body.hostId);
	const {basedOn} = logged.record;
	if (basedOn !== undefined && basedOn !== known?.offset) {
		return rejectRecord(`based on offset ${basedOn}, but ${known?.offset ?? 'nothing'} is in force`);
	}

	if (known && known.pool !== body.pool) {
		return rejectRecord(`host ${body.hostId} belongs to pool ${known.pool}; it changes its pool by a move`);
	}

	if (known?.chain) {
		return rejectRecord(`host ${body.hostId} is out by plan`);
	}

	fleet.hosts.set(body.hostId, {
		...(known ?? {
			isDown: false, requestedPool: undefined, chainCount: 0, chain: undefined,
		}),
		...body,
		offset: logged.offset,
	});
	return accepted;
}

function applyMove(fleet: FleetState, _logged: LoggedRecord, body: MoveBody): RecordOutcome {
	const host = fleet.hosts.get(body.hostId);
	if (!host) {
		return rejectRecord(`host ${body.hostId} is unknown`);
	}

	if (!fleet.pools.has(body.to)) {
		return rejectRecord(`pool ${body.to} is unknown`);
	}

	if (host.chain?.kind === 'move') {
		return rejectRecord(`host ${body.hostId} is moving already`);
	}

	host.requestedPool = body.to === host.pool ? undefined : body.to;
	return accepted;
}

function applyHostHealth(fleet: FleetState, _logged: LoggedRecord, body: HostHealthBody): RecordOutcome {
	const host = fleet.hosts.get(body.hostId);
	const reason = validateTerm(fleet, body.term) ?? (host ? undefined : `host ${body.hostId} is unknown`);
	if (reason !== undefined || !host) {
		return rejectRecord(reason ?? '');
	}

	host.isDown = body.isDown;
	return accepted;
}

function applyMoveLend(fleet: FleetState, _logged: LoggedRecord, body: MoveLendBody): RecordOutcome {
	const host = fleet.hosts.get(body.hostId);
	if (!host) {
		return rejectRecord(`host ${body.hostId} is unknown`);
	}

	const reason = validateTerm(fleet, body.term) ?? validateLend(fleet, host, body) ?? checkAvailabilityBudget(fleet, host);
	if (reason !== undefined) {
		return rejectRecord(reason);
	}

	host.chainCount += 1;
	host.chain = {
		kind: 'move', to: body.to, operationId: body.operationId, drainDeadline: body.drainDeadline, term: body.term, step: 'lent',
	};
	return accepted;
}

function validateLend(fleet: FleetState, host: FleetHost, body: MoveLendBody): string | undefined {
	if (host.pool !== body.from) {
		return `host ${host.hostId} belongs to pool ${host.pool}, not ${body.from}`;
	}

	if (host.requestedPool !== body.to) {
		return `no operator asked host ${host.hostId} to move to ${body.to}`;
	}

	return fleet.pools.has(body.to) ? undefined : `pool ${body.to} is unknown`;
}

function createMoveStep(from: Move['step'], change: (host: FleetHost, move: Move) => void): BodyApplier<ChainStepBody> {
	return (fleet, _logged, body) => {
		const host = fleet.hosts.get(body.hostId);
		const chain = host?.chain;
		if (!host || chain?.kind !== 'move' || chain.step !== from || chain.operationId !== body.operationId) {
			return rejectRecord(`host ${body.hostId} has no move ${body.operationId} at step ${from}`);
		}

		const reason = validateTerm(fleet, body.term);
		if (reason !== undefined) {
			return rejectRecord(reason);
		}

		change(host, chain);
		return accepted;
	};
}
