/** Order of a queue: earliest deadline first within a class and team, start-time fair queueing between teams. */
import {workClasses, type WorkClass} from '../types/requests.js';
import type {State} from '../types/state.js';
import {countUntil, listLanes} from './ask-lanes.js';
import {countSlotsHeldByClass, countSlotsOfClass, type SlotUsage} from './capacity.js';
import type {SlotAsk} from './messages.js';
import {estimateRunMs} from './run-times.js';
import type {QueuedAsk, StewardState} from './state.js';

const minChargeMs = 1;

/** The asks that may be granted next: one of each class that is below its limit, the earliest deadline first. */
export function listNextAsks(steward: StewardState, usage: SlotUsage): QueuedAsk[] {
	const heads = workClasses
		.filter(workClass => workClasses.every(wider =>
			!isCountedIn(workClass, wider) || countSlotsHeldByClass(usage, wider) < countSlotsOfClass(usage.capacity, wider)))
		.map(workClass => findHead(steward, workClass));
	return heads.filter(head => head !== undefined).toSorted((a, b) => a.ask.deadline - b.ask.deadline);
}

/** Charges a team for a granted ask by advancing its start tag, so that other teams are served first for a while. */
export function updateTeamTag(state: State, steward: StewardState, ask: SlotAsk): void {
	const startTag = getStartTag(steward, ask);
	steward.virtualTime = Math.max(steward.virtualTime, startTag);
	const chargeMs = Math.max(minChargeMs, estimateRunMs(state.slots, ask.service, ask.workClass));
	steward.teamTags.set(ask.team, startTag + chargeMs);
}

/** Removes the tags that the virtual time has passed: their teams are treated like new ones. */
export function expireTeamTags(steward: StewardState): void {
	for (const [team, tag] of steward.teamTags) {
		if (tag <= steward.virtualTime) {
			steward.teamTags.delete(team);
		}
	}
}

/**
 * The expected wait of an ask in milliseconds, from observed run times; 0 if none are known.
 * An ask is assumed to wait behind its team's earlier asks and, for each other team, that number plus one.
 */
export function estimateWaitMs(state: State, steward: StewardState, ask: SlotAsk, usage: SlotUsage): number {
	const {capacity} = usage;
	const free = countSlotsOfClass(capacity, ask.workClass) - countSlotsHeldByClass(usage, ask.workClass);
	const ahead = countAsksAhead(steward, ask);
	if (ahead < free && usage.used < capacity) {
		return 0;
	}

	const slotsHeldBySlower = countSlotsHeldByClass(usage, ask.workClass) - usage.byClass[ask.workClass];
	const servingSlots = Math.max(1, countSlotsOfClass(capacity, ask.workClass) - (ask.workClass === 'quick' ? slotsHeldBySlower : 0));
	return (ahead + 1) * estimateRunMs(state.slots, ask.service, ask.workClass) / servingSlots;
}

/** Whether the slots of a class count towards the limit of another: long work also counts as heavy, but heavy work not as long. */
function isCountedIn(workClass: WorkClass, wider: WorkClass): boolean {
	return workClasses.indexOf(workClass) >= workClasses.indexOf(wider);
}

function findHead(steward: StewardState, workClass: WorkClass): QueuedAsk | undefined {
	let head: QueuedAsk | undefined;
	for (const [first] of listLanes(steward.queue, workClass).values()) {
		if (first && (!head || isBefore(steward, first.ask, head.ask))) {
			head = first;
		}
	}

	return head;
}

function isBefore(steward: StewardState, a: SlotAsk, b: SlotAsk): boolean {
	const difference = getStartTag(steward, a) - getStartTag(steward, b);
	return difference < 0 || (difference === 0 && a.deadline < b.deadline);
}

function getStartTag(steward: StewardState, ask: SlotAsk): number {
	return Math.max(steward.virtualTime, steward.teamTags.get(ask.team) ?? 0);
}

function countAsksAhead(steward: StewardState, ask: SlotAsk): number {
	const lanes = listLanes(steward.queue, ask.workClass);
	const own = lanes.get(ask.team) ?? [];
	const earlier = countUntil(own, ask.deadline) - (steward.queue.byId.has(ask.askId) ? 1 : 0);
	let otherTeams = 0;
	let others = 0;
	for (const [team, lane] of lanes) {
		if (team !== ask.team) {
			otherTeams += 1;
			others += lane.length;
		}
	}

	return earlier + Math.min(others, (earlier + 1) * otherTeams);
}
