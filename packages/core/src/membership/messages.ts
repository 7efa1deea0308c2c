/** Messages between entry hosts, validated when a process receives them. */
import {z} from 'zod';
import {claimMessageSchemas} from '../claims/messages.js';
import {
	historyDiffersSchema, recordsReplySchema, recordsRequestSchema, stateChunkSchema,
} from '../log/messages.js';
import {listedHostSchema} from '../types/hosts.js';
import {availabilityZoneSchema, hostIdSchema, incarnationSchema} from '../types/ids.js';
import {slotMessageSchemas} from '../slots/messages.js';
import {instantSchema, offsetSchema} from '../types/time.js';

/** Version of these messages; hosts whose versions differ by at most one are compatible. */
export const protocolVersion = 2;

/** How to reach an entry host. */
export const entryHostSchema = z.object({hostId: hostIdSchema, availabilityZone: availabilityZoneSchema, address: z.string().max(64)});

/** Sent first on every new link. With `self` the receiver can connect to a host that is on no host list yet. */
export const helloSchema = z.object({
	type: z.literal('hello'),
	hostId: hostIdSchema,
	incarnation: incarnationSchema,
	protocolVersion: z.number().int().nonnegative(),
	self: entryHostSchema.optional(),
});

/** Sent on every link at least every two seconds, and instead of the next pulse after a change. Fields that the previous version does not send are optional. */
export const heartbeatSchema = z.object({
	type: z.literal('heartbeat'),
	hostId: hostIdSchema,
	incarnation: incarnationSchema,
	sentAt: instantSchema,
	/** `sentAt` of the latest heartbeat that the sender got from the receiver: shows that messages in that direction arrive. */
	heardAt: instantSchema.optional(),
	nextOffset: offsetSchema,
	/** Digest of the sender's fleet state after all records before `nextOffset`. */
	digest: z.string().optional(),
	/** Checksum of the schema versions that the sender knows; digests are compared only where these are equal. */
	decoders: z.string().optional(),
	/** The latest snapshot that the sender knows of. */
	snapshotOffset: offsetSchema.optional(),
	snapshotWrittenAt: instantSchema.optional(),
});

/** A heartbeat without changes: all other fields are as in the last full heartbeat on the link. Since version 2. */
export const pulseSchema = z.object({type: z.literal('pulse'), sentAt: instantSchema, heardAt: instantSchema.optional()});

/** Requests the latest host list, for a host that has not got one from the platform. */
export const hostsRequestSchema = z.object({type: z.literal('hosts/request')});

/** The latest host list that the sender has. */
export const hostsReplySchema = z.object({
	type: z.literal('hosts/reply'),
	hosts: z.array(listedHostSchema),
	/** Entry hosts that the sender keeps links to, including those on no host list. */
	entryHosts: z.array(entryHostSchema).optional(),
});

/** Any message of a peer. Unknown types are counted and dropped, so that versions may differ by one. */
export const peerMessageSchema = z.discriminatedUnion('type', [
	helloSchema,
	heartbeatSchema,
	pulseSchema,
	hostsRequestSchema,
	hostsReplySchema,
	recordsRequestSchema,
	recordsReplySchema,
	stateChunkSchema,
	historyDiffersSchema,
	...slotMessageSchemas,
	...claimMessageSchemas,
]);
export type PeerMessage = z.infer<typeof peerMessageSchema>;
export type PeerMessageType = PeerMessage['type'];
export type PeerMessageOf<Type extends PeerMessageType> = Extract<PeerMessage, {readonly type: Type}>;
