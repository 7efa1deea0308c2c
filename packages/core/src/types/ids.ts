/** Branded identifiers. Each is a short printable text, validated by its schema when a process receives it. */
import {z} from 'zod';

const maxIdLength = 128;
const idText = z.string().min(1).max(maxIdLength).regex(/^[\w.:@/-]+$/, 'must be letters, digits or one of . : @ / _ -');

export const requestIdSchema = idText.brand<'RequestId'>();
/** The caller's idempotency key: the same for all retries of one request. */
export type RequestId = z.infer<typeof requestIdSchema>;

export const attemptIdSchema = idText.brand<'AttemptId'>();
/** Identifies one dispatch of a request to a target; the answer must repeat it. */
export type AttemptId = z.infer<typeof attemptIdSchema>;

export const claimIdSchema = idText.brand<'ClaimId'>();
/** Identifies one claim of an entry host on a request id. */
export type ClaimId = z.infer<typeof claimIdSchema>;

export const callerKeySchema = idText.brand<'CallerKey'>();
/** Identifies one open call of a caller at this entry host; unique within the process. */
export type CallerKey = z.infer<typeof callerKeySchema>;

export const hostIdSchema = idText.brand<'HostId'>();
/** Any host of the platform: entry host, runner or worker. */
export type HostId = z.infer<typeof hostIdSchema>;

export const incarnationSchema = idText.brand<'Incarnation'>();
/** Identifies one process lifetime on a host; new at every start. */
export type Incarnation = z.infer<typeof incarnationSchema>;

export const poolIdSchema = idText.brand<'PoolId'>();
export type PoolId = z.infer<typeof poolIdSchema>;

export const serviceIdSchema = idText.brand<'ServiceId'>();
export type ServiceId = z.infer<typeof serviceIdSchema>;

export const teamIdSchema = idText.brand<'TeamId'>();
/** The team on whose behalf a caller sends a request. */
export type TeamId = z.infer<typeof teamIdSchema>;

export const availabilityZoneSchema = idText.brand<'AvailabilityZone'>();
export type AvailabilityZone = z.infer<typeof availabilityZoneSchema>;

export const rackIdSchema = idText.brand<'RackId'>();
export type RackId = z.infer<typeof rackIdSchema>;

export const recordIdSchema = idText.brand<'RecordId'>();
/** Chosen by the writer of a record. A record that is appended twice under one id is applied once. */
export type RecordId = z.infer<typeof recordIdSchema>;

export const waveIdSchema = idText.brand<'WaveId'>();
export type WaveId = z.infer<typeof waveIdSchema>;

export const jobIdSchema = idText.brand<'JobId'>();
export type JobId = z.infer<typeof jobIdSchema>;

export const operationIdSchema = idText.brand<'OperationId'>();
/** The idempotency key of a call to the platform. */
export type OperationId = z.infer<typeof operationIdSchema>;

export const askIdSchema = idText.brand<'AskId'>();
/** Identifies one slot request, sent by the entry host that has the caller's request. */
export type AskId = z.infer<typeof askIdSchema>;
