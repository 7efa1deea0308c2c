/** Messages between an entry host that needs a slot and the steward that grants slots of a service in an availability zone. */
import {z} from 'zod';
import {
	askIdSchema, availabilityZoneSchema, hostIdSchema, serviceIdSchema, teamIdSchema,
} from '../types/ids.js';
import {workClasses} from '../types/requests.js';
import {instantSchema} from '../types/time.js';

/** An ask: the request of an entry host for a slot, for one waiting request of a caller. `avoid`: targets that failed it or were leaving. */
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

/** A granted slot: the ask and the target. */
export const heldSlotSchema = z.object({ask: slotAskBodySchema, target: hostIdSchema});
export type HeldSlot = z.infer<typeof heldSlotSchema>;

export const slotAskSchema = z.object({type: z.literal('slot-ask'), ask: slotAskBodySchema});

/** Grants one slot of a target until it is released, or its holder does not report for `slotLeaseMs`. */
export const slotGrantSchema = z.object({
	type: z.literal('slot-grant'), askId: askIdSchema, target: hostIdSchema,
	/** The holder may use the slot for another request of the same class after this one. */
	mayKeep: z.boolean().optional(),
});

/** Recalls a slot that its holder was allowed to keep. */
export const slotRecallSchema = z.object({type: z.literal('slot-recall'), askId: askIdSchema});

export const refusalKinds = ['deadline-unreachable', 'queue-full', 'team-over-quota', 'no-target'] as const;
export type RefusalKind = typeof refusalKinds[number];

/** Refuses an ask on arrival, or removes it from the queue. */
export const slotRefuseSchema = z.object({
	type: z.literal('slot-refuse'), askId: askIdSchema, kind: z.enum(refusalKinds), comeBackAt: instantSchema,
});

/**
 * How the use of a slot ended. `withdrawn`: it was not used; `unsent`: the target could not be reached;
 * `busy`: the target refused the request; `lost`: no complete answer arrived, so the target may still be running the request;
 * `failed`: the target answered with an error.
 */
export const slotEnds = ['answered', 'failed', 'busy', 'unsent', 'lost', 'withdrawn'] as const;
export type SlotEnd = typeof slotEnds[number];

/** Releases a slot, or withdraws a queued ask. `runMs`: from dispatch to end, in milliseconds. */
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

/** All asks that a host has queued at a steward and all slots that it holds: renews their leases, and corrects the effects of lost messages. */
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

/** A target known to be leaving, and when that was first reported. */
export const leavingTargetSchema = z.object({hostId: hostIdSchema, saidAt: instantSchema});
export type LeavingTarget = z.infer<typeof leavingTargetSchema>;

/** Sent to every linked peer when it has changed, and repeated regularly. */
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
