/** All effects of an entry host. The reducer returns them as data; the daemon's interpreter runs them. */
import type {FleetEffect} from '../fleet/effects.js';
import type {JobEffect} from '../jobs/effects.js';
import type {LogEffect} from '../log/effects.js';
import type {MembershipEffect} from '../membership/effects.js';
import type {PlannerEffect} from '../planner/effects.js';
import type {RequestEffect} from '../requests/effects.js';
import type {TargetEffect} from '../targets/effects.js';

export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Writes one structured line to the process's own log. */
export type LogLineEffect = {
	readonly type: 'line/write';
	readonly level: LogLevel;
	readonly event: string;
	readonly fields: Readonly<Record<string, string | number | boolean>>;
};

export type MetricKind = 'count' | 'gauge' | 'timing';

/** Sends one metric. Unit of timings: milliseconds. */
export type MetricEffect = {
	readonly type: 'metric/send';
	readonly kind: MetricKind;
	readonly name: string;
	readonly value: number;
	readonly tags: Readonly<Record<string, string>>;
};

/** Reports a violated invariant: it is logged and counted, and ends the process if the settings say so. */
export type InvariantEffect = {
	readonly type: 'invariant/violated';
	readonly name: string;
	readonly detail: string;
};

/** Ends the process: a stop was requested and all accepted work has ended. */
export type ExitEffect = {readonly type: 'process/exit'};

export type Effect = LogLineEffect | MetricEffect | InvariantEffect | ExitEffect
	| RequestEffect | TargetEffect | LogEffect | FleetEffect | MembershipEffect | PlannerEffect | JobEffect;
export type EffectType = Effect['type'];
export type EffectOf<Type extends EffectType> = Extract<Effect, {readonly type: Type}>;
