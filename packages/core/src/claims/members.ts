/** The members: entry hosts that vote on claims, agreed through the log. */
import murmurhash from 'murmurhash';
import {z} from 'zod';
import type {FleetState} from '../fleet/state.js';
import {
	availabilityZoneSchema, hostIdSchema, incarnationSchema, type HostId, type Incarnation, type RequestId,
} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import {getNextOffset, type Offset} from '../types/time.js';

/** Appended by an entry host when it starts. It replaces the host's former incarnation, or the member `replaces`, a host that was removed for good. */
export const entryHostJoinedBodyV1 = z.strictObject({
	hostId: hostIdSchema,
	incarnation: incarnationSchema,
	availabilityZone: availabilityZoneSchema,
	replaces: hostIdSchema.optional(),
});
export type EntryHostJoinedBody = z.infer<typeof entryHostJoinedBodyV1>;

/** One incarnation, or process lifetime, of an entry host. */
export type MemberIncarnation = {readonly hostId: HostId; readonly incarnation: Incarnation};

export type Member = EntryHostJoinedBody & {
	readonly joinedAt: Offset;
	/** The members just before this one joined: it copies their claims before it votes. */
	readonly predecessors: readonly MemberIncarnation[];
};

/** Applies the record of an entry host that has joined the members. */
export function applyEntryHostJoined(fleet: FleetState, logged: LoggedRecord, body: EntryHostJoinedBody): void {
	const predecessors = [...fleet.members.values()].map(({hostId, incarnation}) => ({hostId, incarnation}));
	if (body.replaces !== undefined && !fleet.members.has(body.hostId)) {
		fleet.members.delete(body.replaces);
	}

	fleet.members.set(body.hostId, {...body, joinedAt: logged.offset, predecessors});
	fleet.membersOffset = getNextOffset(logged.offset);
}

/** How many of `count` are a majority. */
export function countMajority(count: number): number {
	return Math.floor(count / 2) + 1;
}

/** How many of `count` members must be asked so that at least one of any majority is among them. */
export function countOverlap(count: number): number {
	return count - countMajority(count) + 1;
}

/** Whether this incarnation of a host is a member, by the log records that this host has applied. */
export function isMember(state: State, member: MemberIncarnation): boolean {
	return state.fleet.members.get(member.hostId)?.incarnation === member.incarnation;
}

/** Host ids in the order in which they are asked about a request id; the same on every host. */
export function listVoters(state: State, requestId: RequestId): HostId[] {
	return [...state.fleet.members.keys()].toSorted((a, b) => isRankedBefore(requestId, a, b) ? -1 : 1);
}

/** Whether a host goes before another for a request id. */
export function isRankedBefore(requestId: RequestId, a: HostId, b: HostId): boolean {
	const difference = murmurhash.v3(`${requestId} ${a}`) - murmurhash.v3(`${requestId} ${b}`);
	return difference === 0 ? a < b : difference < 0;
}
