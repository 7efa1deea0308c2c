/** Messages between an entry host that needs a slot and the steward that grants slots of a service in an availability zone. */
import {z} from 'zod';
import {
	askIdSchema, availabilityZoneSchema, hostIdSchema, serviceIdSchema, teamIdSchema,
} from '../types/ids.js';
import {workClasses} from '../types/requests.js';
import {instantSchema} from '../types/time.js';

/** What a steward needs to know of a waiting request. `avoid`: targets that already failed it. */
export const slotAskBodySchema = z.object({
	askId: askIdSchema,
	service: serviceIdSchema,
	availabilityZone: availabilityZoneSchema,
	workClass: z.enum(workClasses),
	team: teamIdSchema,
	deadline: instantSchema,
	isIdempotent: z.boolean(),
	avoid: z.array(hostIdSchema),
});
export type SlotAsk = z.infer<typeof slotAskBodySchema>;

/** A slot in use: what was asked and the target that was granted. */
export const heldSlotSchema = z.object({ask: slotAskBodySchema, target: hostIdSchema});
export type HeldSlot = z.infer<typeof heldSlotSchema>;

export const slotAskSchema = z.object({type: z.literal('slot-ask'), ask: slotAskBodySchema});

/** One slot of a target, until released or until its holder is silent for `slotLeaseMs`. */
export const slotGrantSchema = z.object({
	type: z.literal('slot-grant'), askId: askIdSchema, target: hostIdSchema,
	/** The holder may use the slot for another request of the same class after this one. */
	mayKeep: z.boolean().optional(),
});

/** Asks for a slot back that its holder may have kept. */
export const slotRecallSchema = z.object({type: z.literal('slot-recall'), askId: askIdSchema});

export const refusalKinds = ['deadline-unreachable', 'queue-full', 'team-over-quota', 'no-target'] as const;
export type RefusalKind = typeof refusalKinds[number];

/** The steward will not queue the ask, or no longer. */
export const slotRefuseSchema = z.object({
	type: z.literal('slot-refuse'), askId: askIdSchema, kind: z.enum(refusalKinds), comeBackAt: instantSchema,
});

/**
 * How the use of a slot ended. `withdrawn`: never used; `unsent`: the target could not be reached;
 * `busy`: the target refused; `lost`: no whole answer came, so the target may still be at work; `failed`: it answered with an error.
 */
export const slotEnds = ['answered', 'failed', 'busy', 'unsent', 'lost', 'withdrawn'] as const;
export type SlotEnd = typeof slotEnds[number];

/** Gives a slot back, or takes a queued ask back. `runMs`: from dispatch to end, in milliseconds. */
export const slotReleaseSchema = z.object({
	type: z.literal('slot-release'),
	askId: askIdSchema,
	service: serviceIdSchema,
	availabilityZone: availabilityZoneSchema,
	end: z.enum(slotEnds),
	runMs: z.number().nonnegative(),
	/** The request has ended, but its holder keeps the slot for the next one. */
	isKept: z.boolean().optional(),
});

/** All that a host has queued or in use with a steward: renews leases, and repairs lost messages. */
export const slotReportSchema = z.object({
	type: z.literal('slot-report'),
	service: serviceIdSchema,
	availabilityZone: availabilityZoneSchema,
	queued: z.array(slotAskBodySchema),
	held: z.array(heldSlotSchema),
});

/** How busy the targets of a service in an availability zone are. `waitMs`: expected wait of quick work, in milliseconds. */
export const zoneLoadSchema = z.object({
	service: serviceIdSchema,
	availabilityZone: availabilityZoneSchema,
	freeSlots: z.number().int(),
	queuedAsks: z.number().int().nonnegative(),
	waitMs: z.number().nonnegative(),
	usableTargets: z.number().int().nonnegative(),
});
export type ZoneLoad = z.infer<typeof zoneLoadSchema>;

/** A target known to be leaving, and when that was first said. */
export const leavingTargetSchema = z.object({hostId: hostIdSchema, saidAt: instantSchema});
export type LeavingTarget = z.infer<typeof leavingTargetSchema>;

/** Sent to every peer several times a second. */
export const slotGossipSchema = z.object({
	type: z.literal('slot-gossip'),
	isStopping: z.boolean(),
	loads: z.array(zoneLoadSchema),
	leaving: z.array(leavingTargetSchema),
});

export const slotMessageSchemas = [
	slotAskSchema, slotGrantSchema, slotRecallSchema, slotRefuseSchema, slotReleaseSchema, slotReportSchema, slotGossipSchema,
] as const;
export type SlotMessage = z.infer<typeof slotMessageSchemas[number]>;
export type SlotMessageType = SlotMessage['type'];
export type SlotMessageOf<Type extends SlotMessageType> = Extract<SlotMessage, {readonly type: Type}>;
