/** Settings of the platform test double: lags, limits and faults. Tests change them at /v1/control/faults. */
import {z} from 'zod';

const milliseconds = z.number().nonnegative();
const probability = z.number().min(0).max(1);

export const platformSettingsSchema = z.strictObject({
	/** No call is served before this instant (milliseconds since the epoch). */
	outageUntil: milliseconds.default(0),
	/** How calls fail during an outage: with a connection reset, without any answer, or with status 503. */
	outageKind: z.enum(['reset', 'hang', 'unavailable']).default('reset'),
	/** Delay of each call, in milliseconds. */
	slowMs: milliseconds.default(0),
	/** Answers that are lost after the call took effect: the connection is reset instead. */
	loseAnswers: z.strictObject({
		probability,
		seed: z.number().int(),
		methods: z.array(z.enum(['GET', 'POST'])).default(['POST']),
	}).default({probability: 0, seed: 1, methods: ['POST']}),
	/** Retention of the log streams; undefined keeps all records. */
	retention: z.strictObject({
		maxRecords: z.number().int().nonnegative().optional(),
		maxAgeMs: milliseconds.optional(),
	}).default({}),
	/** Log reads are stale: they answer as if no record from this offset on existed. */
	staleLogOffset: z.number().int().nonnegative().optional(),
	/** Appends beyond this many calls per second are rejected with status 429. */
	appendsPerSecond: z.number().positive().default(500),
	/** Lag of the host list, in milliseconds. */
	hostListLagMs: milliseconds.default(0),
	/** Lag of the reported worker states and task usage, in milliseconds. */
	reportLagMs: milliseconds.default(0),
	rebootMs: milliseconds.default(1000),
	/** Actual values of tasks, which override those declared at their start; the first entry whose prefix matches applies. */
	taskTruths: z.array(z.strictObject({
		taskIdPrefix: z.string(),
		trueCores: z.number().positive().optional(),
		trueMemoryBytes: z.number().nonnegative().optional(),
		runMs: milliseconds.optional(),
		willFail: z.boolean().optional(),
	})).default([]),
});
export type PlatformSettings = z.infer<typeof platformSettingsSchema>;

/** A partial update of the settings; null resets a setting to its default. */
export const platformSettingsPatchSchema = z.strictObject(Object.fromEntries(Object.entries(platformSettingsSchema.shape).map(([name, schema]) =>
	[name, schema.unwrap().nullable().optional()])));

/** Returns the settings after a partial update. */
export function updateSettings(settings: PlatformSettings, patch: Readonly<Record<string, unknown>>): PlatformSettings {
	const merged = {...settings, ...patch};
	return platformSettingsSchema.parse(Object.fromEntries(Object.entries(merged).filter(([, value]) => value !== null)));
}
