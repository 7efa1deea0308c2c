/** Bodies of the records about hosts and their moves between pools. */
import {z} from 'zod';
import {
	availabilityZoneSchema, hostIdSchema, operationIdSchema, poolIdSchema, rackIdSchema,
} from '../types/ids.js';
import {instantSchema} from '../types/time.js';

/** Term of the planner's lease. A record whose term differs from the one in force is void. */
export const termSchema = z.number().int().positive();

/** A host joins the fleet, or its availability zone or rack is corrected. Its pool changes only by a move. */
export const hostBodyV1 = z.strictObject({
	hostId: hostIdSchema,
	pool: poolIdSchema,
	availabilityZone: availabilityZoneSchema,
	rack: rackIdSchema,
});
export type HostBody = z.infer<typeof hostBodyV1>;

/** An operator requests that a host move to a pool; naming its current pool withdraws the request. */
export const moveBodyV1 = z.strictObject({hostId: hostIdSchema, to: poolIdSchema});
export type MoveBody = z.infer<typeof moveBodyV1>;

/** The planner observed that a host is down, or up again. */
export const hostHealthBodyV1 = z.strictObject({
	hostId: hostIdSchema,
	isDown: z.boolean(),
	term: termSchema,
});
export type HostHealthBody = z.infer<typeof hostHealthBodyV1>;

/** The first step of a move: the host goes out of service in its current pool. */
export const moveLendBodyV1 = z.strictObject({
	hostId: hostIdSchema,
	from: poolIdSchema,
	to: poolIdSchema,
	term: termSchema,
	operationId: operationIdSchema,
	drainDeadline: instantSchema,
});
export type MoveLendBody = z.infer<typeof moveLendBodyV1>;

/** A later step of a chain: the sequence of records that carries out one move or outage of a host. */
export const chainStepBodyV1 = z.strictObject({
	hostId: hostIdSchema,
	term: termSchema,
	operationId: operationIdSchema,
});
export type ChainStepBody = z.infer<typeof chainStepBodyV1>;

/** The bodies of this domain by schema name. */
export type PoolDomainBodies = {
	readonly host: HostBody;
	readonly move: MoveBody;
	readonly 'host-health': HostHealthBody;
	readonly 'move-lend': MoveLendBody;
	readonly 'move-drained': ChainStepBody;
	readonly 'move-released': ChainStepBody;
	readonly 'move-joined': ChainStepBody;
};
