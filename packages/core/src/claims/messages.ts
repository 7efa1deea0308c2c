/** Messages between entry hosts about claims on request ids. */
import {z} from 'zod';
import {
	claimIdSchema, hostIdSchema, incarnationSchema, requestIdSchema,
} from '../types/ids.js';
import {instantSchema, offsetSchema} from '../types/time.js';

/** Asks a member to vote for a claim. `deadline`: that of the request; the claim is remembered beyond it. */
export const claimAskSchema = z.object({
	type: z.literal('claim-ask'),
	requestId: requestIdSchema,
	claimId: claimIdSchema,
	deadline: instantSchema,
});

/**
 * A member's vote. `membersOffset`: the offset after the last change of members that it had applied when it voted.
 * `taken`: it voted for another claim before, the `holder`; the owner of that claim sets `isHeld` once it may have dispatched the request.
 * `doubtful`: the request id is too old for this member to know all claims on it.
 */
export const claimAnswerSchema = z.object({
	type: z.literal('claim-answer'),
	requestId: requestIdSchema,
	claimId: claimIdSchema,
	verdict: z.enum(['granted', 'taken', 'doubtful']),
	incarnation: incarnationSchema,
	membersOffset: offsetSchema,
	holder: z.object({claimId: claimIdSchema, owner: hostIdSchema, isHeld: z.boolean()}).optional(),
});

/** Releases a claim whose request has definitely not run; repeated until it is confirmed. */
export const claimReleaseSchema = z.object({
	type: z.literal('claim-release'),
	requestId: requestIdSchema,
	claimId: claimIdSchema,
});

export const claimReleasedSchema = z.object({
	type: z.literal('claim-released'),
	claimId: claimIdSchema,
});

/**
 * A member that has just joined asks for a page of another's claims. `joinedAt`: the offset of its join;
 * `round`: how often it has started again from the first page.
 */
export const claimsFetchSchema = z.object({
	type: z.literal('claims-fetch'),
	joinedAt: offsetSchema,
	round: z.number().int().nonnegative(),
	page: z.number().int().nonnegative(),
});

export const claimNoteSchema = z.object({
	requestId: requestIdSchema,
	claimId: claimIdSchema,
	owner: hostIdSchema,
	expiresAt: instantSchema,
});

export const claimsPageSchema = z.object({
	type: z.literal('claims-page'),
	joinedAt: offsetSchema,
	round: z.number().int().nonnegative(),
	page: z.number().int().nonnegative(),
	isLast: z.boolean(),
	incarnation: incarnationSchema,
	doubtBefore: instantSchema,
	notes: z.array(claimNoteSchema),
});

export const claimMessageSchemas = [
	claimAskSchema, claimAnswerSchema, claimReleaseSchema, claimReleasedSchema, claimsFetchSchema, claimsPageSchema,
] as const;

export type ClaimAnswer = z.infer<typeof claimAnswerSchema>;
export type ClaimsFetch = z.infer<typeof claimsFetchSchema>;
export type ClaimNoteMessage = z.infer<typeof claimNoteSchema>;
export type ClaimsPage = z.infer<typeof claimsPageSchema>;
