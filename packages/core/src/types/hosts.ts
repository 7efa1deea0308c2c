/** The platform's host list, as the daemon receives it. */
import {z} from 'zod';
import {
	availabilityZoneSchema, hostIdSchema, poolIdSchema, rackIdSchema, serviceIdSchema,
} from './ids.js';

export const hostRoleSchema = z.enum(['entry', 'runner', 'worker']);
export type HostRole = z.infer<typeof hostRoleSchema>;

/** One entry of the platform's host list. `address` is `ip:port`. Runners have a `service`, workers a `pool`. */
export const listedHostSchema = z.object({
	hostId: hostIdSchema,
	role: hostRoleSchema,
	availabilityZone: availabilityZoneSchema,
	rack: rackIdSchema.optional(),
	address: z.string(),
	service: serviceIdSchema.optional(),
	pool: poolIdSchema.optional(),
	state: z.enum(['live', 'leaving']),
	/** Processor cores, memory in bytes and accelerators that a worker declares. */
	cores: z.number().nonnegative().optional(),
	memoryBytes: z.number().nonnegative().optional(),
	accelerators: z.number().int().nonnegative().optional(),
});
export type ListedHost = z.infer<typeof listedHostSchema>;
