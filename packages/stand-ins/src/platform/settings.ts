/** How the platform stand-in behaves: its lags, limits and faults. Tests change it at /v1/control/faults. */
import {z} from 'zod';

const milliseconds = z.number().nonnegative();
const probability = z.number().min(0).max(1);

export const platformSettingsSchema = z.strictObject({
	/** No call is answered before this instant (milliseconds since the epoch). */
	outageUntil: milliseconds.default(0),
	/** What a call meets in an outage: a reset connection, no answer, or status 503. */
	outageKind: z.enum(['reset', 'hang', 'unavailable']).default('reset'),
	/** Each call is answered this much later. */
	slowMs: milliseconds.default(0),
	/** Answers lost after the change took effect: the connection is reset instead. */
	loseAnswers: z.strictObject({
		probability,
		seed: z.number().int(),
		methods: z.array(z.enum(['GET', 'POST'])).default(['POST']),
	}).default({probability: 0, seed: 1, methods: ['POST']}),
	/** What the log keeps; undefined keeps all. */
	retention: z.strictObject({
		maxRecords: z.number().int().nonnegative().optional(),
		maxAgeMs: milliseconds.optional(),
	}).default({}),
	/** Log reads answer as if no record from this offset on were there. */
	staleLogOffset: z.number().int().nonnegative().optional(),
	/** Appends beyond this many calls a second are refused with status 429. */
	appendsPerSecond: z.number().positive().default(500),
	hostListLagMs: milliseconds.default(0),
	/** Lag of worker states and task usage. */
	reportLagMs: milliseconds.default(0),
	rebootMs: milliseconds.default(1000),
	/** What tasks really are, whatever their starts declare; the first entry whose prefix fits counts. */
	taskTruths: z.array(z.strictObject({
		taskIdPrefix: z.string(),
		trueCores: z.number().positive().optional(),
		trueMemoryBytes: z.number().nonnegative().optional(),
		runMs: milliseconds.optional(),
		willFail: z.boolean().optional(),
	})).default([]),
});
export type PlatformSettings = z.infer<typeof platformSettingsSchema>;

/** A change of some settings; null puts one back to its default. */
export const platformSettingsPatchSchema = z.strictObject(Object.fromEntries(Object.entries(platformSettingsSchema.shape).map(([name, schema]) =>
	[name, schema.unwrap().nullable().optional()])));

/** The settings after a change. */
export function updateSettings(settings: PlatformSettings, patch: Readonly<Record<string, unknown>>): PlatformSettings {
	const merged = {...settings, ...patch};
	return platformSettingsSchema.parse(Object.fromEntries(Object.entries(merged).filter(([, value]) => value !== null)));
}
