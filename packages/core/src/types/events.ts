/** All events of an entry host. Each domain defines its own; the core gets the current time and all non-deterministic input only from them. */
import type {BurnEvent} from '../burn/events.js';
import type {FleetEvent} from '../fleet/events.js';
import type {JobEvent} from '../jobs/events.js';
import type {LogEvent} from '../log/events.js';
import type {MembershipEvent} from '../membership/events.js';
import type {PlannerEvent} from '../planner/events.js';
import type {RequestEvent} from '../requests/events.js';
import type {TargetEvent} from '../targets/events.js';
import type {Instant} from './time.js';

/** Raised about every `tickIntervalMs`. */
export type TickEvent = {readonly type: 'clock/ticked'; readonly at: Instant};

/** The process was asked to stop gracefully. */
export type StopEvent = {readonly type: 'stop/requested'; readonly at: Instant};

export type Event = TickEvent | StopEvent | RequestEvent | TargetEvent | LogEvent | FleetEvent | MembershipEvent | PlannerEvent | JobEvent | BurnEvent;
export type EventType = Event['type'];
export type EventOf<Type extends EventType> = Extract<Event, {readonly type: Type}>;

export const tickIntervalMs = 50;
