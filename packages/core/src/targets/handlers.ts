/** Handles the host list, the ends of attempts and reports of leaving targets. */
import {endFailedAttempt, finishAttempt} from '../requests/attempts.js';
import type {HandlerTable} from '../types/handlers.js';
import type {ListedHost} from '../types/hosts.js';
import type {State} from '../types/state.js';
import type {TargetEvent} from './events.js';
import {markLeaving} from './leaving.js';
import {createTarget} from './state.js';

export const targetHandlers: HandlerTable<TargetEvent['type']> = {
	'hosts/listed'(state, event) {
		state.targets.listedHosts = event.hosts;
		for (const listed of event.hosts) {
			updateTarget(state, listed);
		}

		removeUnlisted(state, event.hosts);
		return [];
	},
	'hosts/list-failed'() {
		return [];
	},
	'attempt/answered'(state, event) {
		return finishAttempt(state, event);
	},
	'attempt/failed'(state, event) {
		return endFailedAttempt(state, event);
	},
	'target/leaving'(state, event) {
		markLeaving(state, event.target, event.at);
		return [];
	},
};

function updateTarget(state: State, listed: ListedHost): void {
	if (listed.role !== 'runner') {
		return;
	}

	const target = state.targets.targets.get(listed.hostId);
	const wasLeaving = target?.listed.state === 'leaving';
	if (listed.state === 'leaving') {
		markLeaving(state, listed.hostId, state.now);
	} else if (wasLeaving) {
		state.targets.leaving.delete(listed.hostId);
	}

	if (target) {
		target.listed = listed;
	} else {
		state.targets.targets.set(listed.hostId, createTarget(listed));
	}
}

function removeUnlisted(state: State, hosts: readonly ListedHost[]): void {
	const listedIds = new Set(hosts.map(host => host.hostId));
	for (const hostId of state.targets.targets.keys()) {
		if (!listedIds.has(hostId)) {
			state.targets.targets.delete(hostId);
		}
	}
}
