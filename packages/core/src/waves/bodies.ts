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

/** What a firm weighs: the larger a weight, the more a unit of it costs. */
export const waveWeightsSchema = z.strictObject({
	rollOutTime: z.number().nonnegative(),
	bufferCost: z.number().nonnegative(),
});
export type WaveWeights = z.infer<typeof waveWeightsSchema>;

/** Reboots hosts of a pool, all of them unless `hosts` names some. Nothing new starts from `finishBy` on. */
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

/** No further host of the wave is taken out; those that are out come back. */
export const waveCancelBodyV1 = z.strictObject({waveId: waveIdSchema});
export type WaveCancelBody = z.infer<typeof waveCancelBodyV1>;

/** The first step of an outage: the host leaves service by plan. */
export const outageGrantBodyV1 = z.strictObject({
	hostId: hostIdSchema,
	waveId: waveIdSchema,
	term: termSchema,
	operationId: operationIdSchema,
	drainDeadline: instantSchema,
});
export type OutageGrantBody = z.infer<typeof outageGrantBodyV1>;

/** The last step: the host is back in service, rebooted or, where a step failed, as it was. */
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
	/** The host is back in service before its drain had ended, since its pool had too few; it waits for its turn again. */
	readonly 'outage-return': ChainStepBody;
};
