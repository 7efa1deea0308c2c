/** The reducer of an entry host: looks up the handler of an event, which changes the state and returns effects. */
import {burnHandlers} from '../burn/handlers.js';
import {recordFaultAnswers, trackRequestEvent, tickBurn} from '../burn/observe.js';
import {tickGauges} from '../burn/gauges.js';
import {createBurnState} from '../burn/state.js';
import {tickClaims} from '../claims/handlers.js';
import {createClaimsState} from '../claims/state.js';
import {fleetHandlers, tickPublishers} from '../fleet/publishing.js';
import {createFleetState} from '../fleet/state.js';
import {jobHandlers, tickJobs} from '../jobs/handlers.js';
import {createJobRunnerState} from '../jobs/runner-state.js';
import {logHandlers, tickLog} from '../log/handlers.js';
import {tickSnapshots} from '../log/snapshots.js';
import {tickTail} from '../log/tail.js';
import {createLogState} from '../log/state.js';
import {keepLinks, updateEntryHosts} from '../membership/entry-hosts.js';
import {membershipHandlers, tickMembership} from '../membership/handlers.js';
import {createMembershipState} from '../membership/state.js';
import {plannerHandlers, tickPlanner} from '../planner/handlers.js';
import {createPlannerState} from '../planner/state.js';
import {
	requestHandlers, startShutdown, tickRequests, tickShutdown,
} from '../requests/handlers.js';
import {createRequestsState} from '../requests/state.js';
import {handleLocalMessages, tickSlots} from '../slots/handlers.js';
import {createSlotsState} from '../slots/state.js';
import {targetHandlers} from '../targets/handlers.js';
import {createTargetsState} from '../targets/state.js';
import type {Effect} from '../types/effects.js';
import type {Event, EventType} from '../types/events.js';
import type {Handler, HandlerTable} from '../types/handlers.js';
import type {CoreSettings} from '../types/peers.js';
import type {State} from '../types/state.js';
import type {Instant} from '../types/time.js';

const handlers: HandlerTable<EventType> = {
	...requestHandlers,
	...targetHandlers,
	...logHandlers,
	...fleetHandlers,
	...membershipHandlers,
	...plannerHandlers,
	...jobHandlers,
	...burnHandlers,
	'hosts/listed': (state, event) => [
		...targetHandlers['hosts/listed'](state, event),
		...updateEntryHosts(state, event.hosts),
	],
	'clock/ticked': state => [
		...tickPublishers(state),
		...tickLog(state),
		...tickMembership(state),
		...tickClaims(state),
		...tickSlots(state),
		...tickRequests(state),
		...tickShutdown(state),
		...tickBurn(state),
		...tickGauges(state),
		...tickPlanner(state),
		...tickJobs(state),
	],
	'stop/requested'(state) {
		state.isStopping = true;
		return startShutdown(state);
	},
};

/** Creates the state of an entry host that has just started. */
export function createState(settings: CoreSettings): State {
	return {
		settings,
		fleet: createFleetState(),
		log: createLogState(settings.seed),
		requests: createRequestsState(),
		targets: createTargetsState(),
		slots: createSlotsState(),
		membership: createMembershipState(),
		claims: createClaimsState(),
		burn: createBurnState(),
		planner: createPlannerState(),
		jobRunner: createJobRunnerState(),
		now: 0 as Instant,
		isStopping: false,
	};
}

/** Lists the effects that an entry host runs when it starts. */
export function listStartEffects(state: State): Effect[] {
	return [...keepLinks(state, []), ...tickSnapshots(state), ...tickTail(state)];
}

/** Applies one event to the state in place and returns the effects to run. `state.now` never decreases, even if an event's instant is earlier. */
export function reduce(state: State, event: Event): Effect[] {
	state.now = Math.max(state.now, event.at) as Instant;
	const handle = handlers[event.type] as Handler<EventType>;
	const answerMetrics = trackRequestEvent(state, event);
	const effects = handleLocalMessages(state, handle(state, event));
	return [...effects, ...answerMetrics, ...recordFaultAnswers(state, effects)];
}
