/** Messages between entry hosts, checked where they enter a process. */
import {z} from 'zod';
import {slotMessageSchemas} from '../slots/messages.js';
import {hostIdSchema, incarnationSchema} from '../types/ids.js';
import {instantSchema, offsetSchema} from '../types/time.js';

/** Sent on every link several times a second. */
export const heartbeatSchema = z.object({
	type: z.literal('heartbeat'),
	hostId: hostIdSchema,
	incarnation: incarnationSchema,
	sentAt: instantSchema,
	nextOffset: offsetSchema,
});

/** Any message of a peer. Unknown types are counted and dropped, so that versions may differ by one. */
export const peerMessageSchema = z.discriminatedUnion('type', [heartbeatSchema, ...slotMessageSchemas]);
export type PeerMessage = z.infer<typeof peerMessageSchema>;
export type PeerMessageType = PeerMessage['type'];
export type PeerMessageOf<Type extends PeerMessageType> = Extract<PeerMessage, {readonly type: Type}>;
