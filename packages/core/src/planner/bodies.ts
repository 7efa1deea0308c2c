/** Body of the record by which one entry host becomes or stays the planner. */
import {z} from 'zod';
import {termSchema} from '../pools/bodies.js';
import {hostIdSchema, incarnationSchema} from '../types/ids.js';
import {instantSchema} from '../types/time.js';

/** Takes the lease with the next term, or renews it with the same one. `deadline` is by the platform's clock; 0 hands the lease back. */
export const plannerLeaseBodyV1 = z.strictObject({
	holder: hostIdSchema,
	incarnation: incarnationSchema,
	term: termSchema,
	deadline: instantSchema,
});
export type PlannerLeaseBody = z.infer<typeof plannerLeaseBodyV1>;

/** The bodies of this domain by schema name. */
export type PlannerDomainBodies = {readonly 'planner-lease': PlannerLeaseBody};
