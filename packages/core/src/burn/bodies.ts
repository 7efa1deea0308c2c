/** The body of an `objective` record: the service level objective of a service. */
import {z} from 'zod';
import {serviceIdSchema} from '../types/ids.js';

/** Over `windowMinutes`, at least the share `goodShare` of the answers must be free of errors and sent within `latencyBoundMs`. */
export const objectiveBodyV1 = z.strictObject({
	service: serviceIdSchema,
	goodShare: z.number().gt(0).lt(1),
	latencyBoundMs: z.number().int().positive(),
	windowMinutes: z.number().int().min(5).max(360),
});
export type ObjectiveBody = z.infer<typeof objectiveBodyV1>;
