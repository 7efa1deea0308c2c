/** Bodies of the records that operators publish, one schema per name and version. */
import {z} from 'zod';
import {poolIdSchema, serviceIdSchema} from '../types/ids.js';

/** A pool and the availability budget it must keep. */
export const poolBodyV1 = z.strictObject({
	pool: poolIdSchema,
	minimumHealthyHosts: z.number().int().nonnegative(),
});

/** Version 2 adds how many hosts may be out of service by plan at once, in the whole pool and in one availability zone. */
export const poolBodyV2 = z.strictObject({
	pool: poolIdSchema,
	budget: z.strictObject({
		minimumHealthyHosts: z.number().int().nonnegative(),
		maximumHostsOut: z.number().int().positive(),
		maximumHostsOutPerZone: z.number().int().positive(),
	}),
});

/** Version 3 adds how many hosts may be out of service by plan at once in one rack. */
export const poolBodyV3 = z.strictObject({
	pool: poolIdSchema,
	budget: poolBodyV2.shape.budget.extend({maximumHostsOutPerRack: z.number().int().positive()}),
});
export type PoolBody = z.infer<typeof poolBodyV3>;

/** A service and the pool whose hosts run it. */
export const serviceBodyV1 = z.strictObject({
	service: serviceIdSchema,
	pool: poolIdSchema,
	slotsPerRunner: z.number().int().positive(),
	connectionsPerRunner: z.number().int().positive(),
});
export type ServiceBody = z.infer<typeof serviceBodyV1>;
