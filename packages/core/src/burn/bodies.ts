/** The body of an `objective` record: what callers of a service are promised. */
import {z} from 'zod';
import {serviceIdSchema} from '../types/ids.js';

/** `goodShare` of the answers must be whole and come within `latencyBoundMs`, counted over `windowMinutes`. */
export const objectiveBodyV1 = z.strictObject({
	service: serviceIdSchema,
	goodShare: z.number().gt(0).lt(1),
	latencyBoundMs: z.number().int().positive(),
	windowMinutes: z.number().int().min(5).max(360),
});
export type ObjectiveBody = z.infer<typeof objectiveBodyV1>;
