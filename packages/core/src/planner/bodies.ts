/** Body of the record with which an entry host becomes or remains the planner. */
import {z} from 'zod';
import {termSchema} from '../pools/bodies.js';
import {hostIdSchema, incarnationSchema} from '../types/ids.js';
import {instantSchema} from '../types/time.js';

/** Takes the lease with the next term, or renews it with the current one. `deadline` is by the platform's clock; 0 releases the lease. */
export const plannerLeaseBodyV1 = z.strictObject({
	holder: hostIdSchema,
	incarnation: incarnationSchema,
	term: termSchema,
	deadline: instantSchema,
});
export type PlannerLeaseBody = z.infer<typeof plannerLeaseBodyV1>;

/** The bodies of this domain by schema name. */
export type PlannerDomainBodies = {readonly 'planner-lease': PlannerLeaseBody};
