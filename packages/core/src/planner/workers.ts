/** Workers and operations as the platform's API reports them. */
import {z} from 'zod';
import {
	availabilityZoneSchema, hostIdSchema, operationIdSchema, poolIdSchema, rackIdSchema, type HostId,
} from '../types/ids.js';
import {instantSchema} from '../types/time.js';

/** One entry of the platform's list of workers, which is delayed. */
export const listedWorkerSchema = z.object({
	hostId: hostIdSchema,
	availabilityZone: availabilityZoneSchema,
	rack: rackIdSchema.optional(),
	pool: poolIdSchema.optional(),
	state: z.enum(['up', 'draining', 'drained', 'rebooting', 'down']),
	runningTasks: z.number().int().nonnegative(),
	reportedAt: instantSchema,
});
export type ListedWorker = z.infer<typeof listedWorkerSchema>;

export const operationKindSchema = z.enum(['drain', 'reboot', 'undrain', 'set-pool']);
export type OperationKind = z.infer<typeof operationKindSchema>;

/** The state of an operation. */
export const operationReportSchema = z.object({
	operationId: operationIdSchema,
	hostId: hostIdSchema,
	kind: operationKindSchema,
	state: z.enum(['running', 'done', 'failed']),
});
export type OperationReport = z.infer<typeof operationReportSchema>;

/** The hosts that a list reports as down. */
export function listDownWorkers(workers: readonly ListedWorker[]): Set<HostId> {
	return new Set(workers.filter(worker => worker.state === 'down').map(worker => worker.hostId));
}
