/** Bodies of the records about maintenance waves and the outages they consist of. */
import {z} from 'zod';
import {chainStepBodyV1, termSchema, type ChainStepBody} from '../pools/bodies.js';
import {
	hostIdSchema, operationIdSchema, poolIdSchema, waveIdSchema,
} from '../types/ids.js';
import {instantSchema} from '../types/time.js';

/** How the hosts of a wave are chosen; the handlers are in `planner/policies.ts`. */
export const wavePolicySchema = z.enum(['fill-budget', 'one-at-a-time', 'fixed-buffer']);
export type WavePolicyName = z.infer<typeof wavePolicySchema>;

/** Cost weights set by the operator: the larger a weight, the more a unit of that quantity costs. */
export const waveWeightsSchema = z.strictObject({
	rollOutTime: z.number().nonnegative(),
	bufferCost: z.number().nonnegative(),
});
export type WaveWeights = z.infer<typeof waveWeightsSchema>;

/** Requests a reboot of the hosts of a pool: those in `hosts`, or all if it is missing. No outage starts at or after `finishBy`. */
export const waveBodyV1 = z.strictObject({
	waveId: waveIdSchema,
	pool: poolIdSchema,
	hosts: z.array(hostIdSchema).min(1).max(10_000).optional(),
	finishBy: instantSchema,
	/** How long running tasks may take to finish or checkpoint, in milliseconds. */
	drainLimitMs: z.number().int().positive(),
	weights: waveWeightsSchema,
	policy: wavePolicySchema.default('fill-budget'),
});
export type WaveBody = z.infer<typeof waveBodyV1>;

/** Cancels a wave: no further host is taken out of service; hosts that are already out return to service at the end of their outage. */
export const waveCancelBodyV1 = z.strictObject({waveId: waveIdSchema});
export type WaveCancelBody = z.infer<typeof waveCancelBodyV1>;

/** The first step of an outage: the host goes out of service by plan. */
export const outageGrantBodyV1 = z.strictObject({
	hostId: hostIdSchema,
	waveId: waveIdSchema,
	term: termSchema,
	operationId: operationIdSchema,
	drainDeadline: instantSchema,
});
export type OutageGrantBody = z.infer<typeof outageGrantBodyV1>;

/** The last step of an outage: the host is back in service, either after its reboot or because a step failed. */
export const outageEndBodyV1 = chainStepBodyV1.extend({outcome: z.enum(['rebooted', 'failed'])});
export type OutageEndBody = z.infer<typeof outageEndBodyV1>;

/** The bodies of this domain by schema name. */
export type WaveDomainBodies = {
	readonly wave: WaveBody;
	readonly 'wave-cancel': WaveCancelBody;
	readonly 'outage-grant': OutageGrantBody;
	readonly 'host-drained': ChainStepBody;
	readonly 'host-rebooted': ChainStepBody;
	readonly 'outage-end': OutageEndBody;
	/** The host is back in service before its drain ended, because its pool had too few healthy hosts. It waits for a later outage. */
	readonly 'outage-return': ChainStepBody;
};
