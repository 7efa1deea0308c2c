/** The work that a request asks of the target test double, and the faults that can be injected. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';

const milliseconds = z.number().nonnegative();

/**
 * A fault in the handling of one request.
 *
 * `late`: the answer is delayed by `lateMs`. `crossed`: the answer has the id and content of another attempt. `twice`: it is sent twice.
 * `cut`: the connection is reset in the middle of the answer. `wrong-length`: the connection ends before content-length is reached.
 * `silent`: the connection never answers again. `crash-*`: the target goes down for `downMs` before, during or after the run.
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
	/** Length of the answer in bytes; at least that of the digest. */
	answerBytes: z.number().int().nonnegative().max(1024 ** 3).default(0),
	/** Fault for this request, on whichever target it runs. */
	fault: answerFaultSchema.default({kind: 'none'}),
});
export type Work = z.infer<typeof workSchema>;

/** How a target handles all requests; set through the control server. */
export const targetSettingsSchema = z.strictObject({
	refusesAll: z.boolean().default(false),
	/** Every answer carries the header that says that the target is leaving. */
	isLeaving: z.boolean().default(false),
	/** Time added to each declared run time, in milliseconds. */
	slowMs: milliseconds.default(0),
	/** A fault that affects requests at random, at most `maxCount` of them. */
	fault: z.strictObject({
		fault: answerFaultSchema,
		probability: z.number().min(0).max(1).default(1),
		seed: z.number().int().default(1),
		/** Maximum number of affected requests; unlimited by default. */
		maxCount: z.number().int().positive().optional(),
	}).optional(),
});
export type TargetSettings = z.infer<typeof targetSettingsSchema>;

/** Parses the work from a request body; undefined if it is malformed. */
export function parseWork(body: Uint8Array): Work | undefined {
	try {
		return workSchema.safeParse(JSON.parse(Buffer.from(body).toString('utf8'))).data;
	} catch {
		return undefined;
	}
}
