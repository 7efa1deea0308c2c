/** The answer of GET /v1/fleet; only the fields that the tool uses are validated. */
import {
	hostIdSchema, jobIdSchema, listedHostSchema, offsetSchema, waveIdSchema,
} from '@rhubarblever/core';
import {z} from 'zod';

const inForceSchema = z.object({offset: offsetSchema, body: z.record(z.string(), z.unknown())});

export const fleetAnswerSchema = z.object({
	hostId: hostIdSchema,
	nextOffset: offsetSchema,
	pools: z.array(inForceSchema).default([]),
	services: z.array(inForceSchema).default([]),
	objectives: z.array(inForceSchema).default([]),
	waves: z.array(z.looseObject({waveId: waveIdSchema})).default([]),
	jobs: z.array(z.looseObject({jobId: jobIdSchema, ...inForceSchema.shape})).default([]),
	hosts: z.array(listedHostSchema).default([]),
});
export type FleetAnswer = z.infer<typeof fleetAnswerSchema>;
export type InForceAnswer = z.infer<typeof inForceSchema>;
