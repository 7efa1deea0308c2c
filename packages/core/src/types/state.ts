/** The state of an entry host: the replicated fleet state, built from the log and equal on all hosts at the same offset, and the local state of each domain. */
import type {BurnState} from '../burn/state.js';
import type {ClaimsState} from '../claims/state.js';
import type {FleetState} from '../fleet/state.js';
import type {JobRunnerState} from '../jobs/runner-state.js';
import type {LogState} from '../log/state.js';
import type {MembershipState} from '../membership/state.js';
import type {PlannerState} from '../planner/state.js';
import type {RequestsState} from '../requests/state.js';
import type {SlotsState} from '../slots/state.js';
import type {TargetsState} from '../targets/state.js';
import type {CoreSettings} from './peers.js';
import type {Instant} from './time.js';

/** Owned by the event loop; handlers change it in place, one event at a time. */
export type State = {
	readonly settings: CoreSettings;
	readonly fleet: FleetState;
	readonly log: LogState;
	readonly requests: RequestsState;
	readonly targets: TargetsState;
	readonly slots: SlotsState;
	readonly membership: MembershipState;
	readonly claims: ClaimsState;
	readonly burn: BurnState;
	readonly planner: PlannerState;
	readonly jobRunner: JobRunnerState;
	/** The instant of the latest event. */
	now: Instant;
	isStopping: boolean;
};
