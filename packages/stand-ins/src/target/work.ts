/** What a request asks of the target stand-in, and the faults that it can be told to show. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';

const milliseconds = z.number().nonnegative();

/**
 * A fault in the handling of one request.
 *
 * `late`: the answer comes so much later. `crossed`: it names and is another attempt's. `twice`: it is sent two times.
 * `cut`: the connection is reset in its middle. `wrong-length`: it ends before its content-length.
 * `silent`: the connection never answers again. `crash-*`: the target goes down for `downMs`, before, in or after the run.
 */
export const answerFaultSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('none')}),
	z.strictObject({kind: z.literal('late'), lateMs: milliseconds}),
	z.strictObject({kind: z.enum(['crossed', 'twice', 'cut', 'wrong-length', 'silent'])}),
	z.strictObject({kind: z.enum(['crash-before', 'crash-during', 'crash-after']), downMs: milliseconds.default(1000)}),
]);
export type AnswerFault = z.infer<typeof answerFaultSchema>;
export type AnswerFaultKind = AnswerFault['kind'];

export const workSchema = z.object({
	runMs: milliseconds.default(1),
	/** Length of the answer; never shorter than its digest. */
	answerBytes: z.number().int().nonnegative().max(1024 ** 3).default(0),
	/** A fault for this request wherever it runs. */
	fault: answerFaultSchema.default({kind: 'none'}),
});
export type Work = z.infer<typeof workSchema>;

/** How a target behaves to all requests; changed by its control route. */
export const targetSettingsSchema = z.strictObject({
	refusesAll: z.boolean().default(false),
	/** The target says with each answer that it is leaving. */
	isLeaving: z.boolean().default(false),
	/** Each run takes this much longer than declared. */
	slowMs: milliseconds.default(0),
	/** A fault that strikes requests at random, or the next few. */
	fault: z.strictObject({
		fault: answerFaultSchema,
		probability: z.number().min(0).max(1).default(1),
		seed: z.number().int().default(1),
		/** How many requests it strikes at most. */
		maxCount: z.number().int().positive().optional(),
	}).optional(),
});
export type TargetSettings = z.infer<typeof targetSettingsSchema>;

/** Reads the work of a body; undefined if it is malformed. */
export function parseWork(body: Uint8Array): Work | undefined {
	try {
		return workSchema.safeParse(JSON.parse(Buffer.from(body).toString('utf8'))).data;
	} catch {
		return undefined;
	}
}
