/** Executes the accepted outages and moves (chains) step by step: makes each step's platform call, then records that the step is done. */
import type {FleetHost, Move, Outage} from '../pools/state.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {listDownWorkers} from './workers.js';
import {findFirstTry, runOperation, type OperationProgress} from './operations.js';
import {submitHostRecord} from './proposals.js';
import {isNeededBack, isReturning} from './shortage.js';
import {estimateLogTime} from './leadership.js';

const operationDeadlineMs = 10 * 60 * 1000;
const rebootTries = 3;
const unlimitedTries = Number.POSITIVE_INFINITY;

type ChainStep<Chain> = (state: State, host: FleetHost, chain: Chain, term: number) => Effect[];

const outageSteps: Readonly<Record<Outage['step'], ChainStep<Outage>>> = {
	granted(state, host, chain, term) {
		if (isReturning(state, host) || canReturnHost(state, host)) {
			return cancelOutage(state, host, chain, term);
		}

		const drain = runOperation(state, {
			host, kind: 'drain', deadline: chain.drainDeadline, tries: 1,
		});
		return handleProgress(drain, {
			done: () => submitHostRecord(state, 'host-drained', createStepBody(host, chain, term)),
			failed: () => endFailedOutage(state, host, chain, term),
		});
	},
	drained(state, host, chain, term) {
		const reboot = runOperation(state, {
			host, kind: 'reboot', deadline: addMilliseconds(estimateLogTime(state), operationDeadlineMs), tries: rebootTries,
		});
		return handleProgress(reboot, {
			done: () => submitHostRecord(state, 'host-rebooted', createStepBody(host, chain, term)),
			failed: () => endFailedOutage(state, host, chain, term),
		});
	},
	rebooted(state, host, chain, term) {
		return handleProgress(runUndrain(state, host), {
			done: () => submitHostRecord(state, 'outage-end', {...createStepBody(host, chain, term), outcome: 'rebooted'}),
		});
	},
};

const moveSteps: Readonly<Record<Move['step'], ChainStep<Move>>> = {
	lent(state, host, chain, term) {
		const drain = runOperation(state, {
			host, kind: 'drain', deadline: addMilliseconds(estimateLogTime(state), operationDeadlineMs), tries: unlimitedTries,
		});
		return handleProgress(drain, {done: () => submitHostRecord(state, 'move-drained', createStepBody(host, chain, term))});
	},
	drained: (state, host, chain, term) => submitHostRecord(state, 'move-released', createStepBody(host, chain, term)),
	released(state, host, chain, term) {
		const join = runOperation(state, {
			host, kind: 'set-pool', pool: chain.to, deadline: addMilliseconds(estimateLogTime(state), operationDeadlineMs), tries: unlimitedTries,
		});
		return handleProgress(join, {
			done: () => handleProgress(runUndrain(state, host), {
				done: () => submitHostRecord(state, 'move-joined', createStepBody(host, chain, term)),
			}),
		});
	},
};

/** Runs the current step of a host's chain, if it has one. */
export function runChain(state: State, host: FleetHost, term: number): Effect[] {
	const {chain} = host;
	if (!chain || state.planner.proposals.has(host.hostId)) {
		return [];
	}

	return chain.kind === 'outage'
		? outageSteps[chain.step](state, host, chain, term)
		: moveSteps[chain.step](state, host, chain, term);
}

/** Proposes records for hosts that went down or came up. */
export function submitHealth(state: State, term: number): Effect[] {
	const down = listDownWorkers(state.planner.workers);
	const listed = new Set(state.planner.workers.map(worker => worker.hostId));
	const changed = [...state.fleet.hosts.values()].filter(host => listed.has(host.hostId) && host.isDown !== down.has(host.hostId));
	return changed.flatMap(({hostId}) => submitHostRecord(state, 'host-health', {hostId, isDown: down.has(hostId), term}));
}

function runUndrain(state: State, host: FleetHost): OperationProgress {
	return runOperation(state, {
		host, kind: 'undrain', deadline: addMilliseconds(estimateLogTime(state), operationDeadlineMs), tries: unlimitedTries,
	});
}

/** Returns a host to service after a failed step, and then ends its outage as failed. */
function endFailedOutage(state: State, host: FleetHost, chain: Outage, term: number): Effect[] {
	return handleProgress(runUndrain(state, host), {
		done: () => submitHostRecord(state, 'outage-end', {...createStepBody(host, chain, term), outcome: 'failed'}),
	});
}

/** Whether a host can be returned to service before its drain has ended. If a lost answer leaves the drain's state unknown, that is read first. */
function canReturnHost(state: State, host: FleetHost): boolean {
	const drain = findFirstTry(state, host, 'drain');
	return !drain.isInFlight && (drain.state === 'absent' || drain.state === 'running') && isNeededBack(state, host);
}

/** Undoes an outage before its drain has ended, because the pool has lost healthy hosts since the grant. The host then waits for its turn in the wave again. */
function cancelOutage(state: State, host: FleetHost, chain: Outage, term: number): Effect[] {
	state.planner.returningOutages.add(chain.operationId);
	const submit = () => submitHostRecord(state, 'outage-return', createStepBody(host, chain, term));
	return findFirstTry(state, host, 'drain').state === 'absent' ? submit() : handleProgress(runUndrain(state, host), {done: submit});
}

function handleProgress(progress: OperationProgress, next: {readonly done: () => Effect[]; readonly failed?: () => Effect[]}): Effect[] {
	const after = {pending: undefined, done: next.done, failed: next.failed}[progress.state];
	return [...progress.effects, ...after?.() ?? []];
}

function createStepBody(host: FleetHost, chain: Outage | Move, term: number) {
	return {hostId: host.hostId, term, operationId: chain.operationId};
}
