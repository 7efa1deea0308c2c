/** The queued asks, with one lane per work class and team, sorted by deadline, so that no operation scans all of them. */
import type {AskId, TeamId} from '../types/ids.js';
import {workClasses, type WorkClass} from '../types/requests.js';
import type {Instant} from '../types/time.js';
import type {QueuedAsk} from './state.js';

type Lanes = ReadonlyMap<WorkClass, Map<TeamId, QueuedAsk[]>>;

export type AskLanes = {readonly byId: Map<AskId, QueuedAsk>; readonly lanes: Lanes};

/** Lanes without asks. */
export function createAskLanes(): AskLanes {
	return {byId: new Map(), lanes: new Map(workClasses.map(workClass => [workClass, new Map()]))};
}

/** Inserts an ask after those with the same deadline. */
export function addAsk(queue: AskLanes, queued: QueuedAsk): void {
	const {askId, workClass, team, deadline} = queued.ask;
	const teams = queue.lanes.get(workClass);
	const lane = teams?.get(team) ?? [];
	teams?.set(team, lane);
	lane.splice(countUntil(lane, deadline), 0, queued);
	queue.byId.set(askId, queued);
}

/** Removes an ask if it is queued. */
export function removeAsk(queue: AskLanes, askId: AskId): void {
	const queued = queue.byId.get(askId);
	if (!queued) {
		return;
	}

	queue.byId.delete(askId);
	const {workClass, team, deadline} = queued.ask;
	const teams = queue.lanes.get(workClass);
	const lane = teams?.get(team) ?? [];
	const index = lane.lastIndexOf(queued, countUntil(lane, deadline));
	lane.splice(index, 1);
	if (lane.length === 0) {
		teams?.delete(team);
	}
}

/** The lanes of a class, by team; none of them is empty. */
export function listLanes(queue: AskLanes, workClass: WorkClass): ReadonlyMap<TeamId, readonly QueuedAsk[]> {
	return queue.lanes.get(workClass) ?? new Map();
}

/** The number of queued asks of a team over all classes. */
export function countAsksOfTeam(queue: AskLanes, team: TeamId): number {
	return workClasses.reduce((sum, workClass) => sum + (listLanes(queue, workClass).get(team)?.length ?? 0), 0);
}

/** The number of asks in a lane that have an earlier deadline. */
export function countBefore(lane: readonly QueuedAsk[], deadline: Instant): number {
	const first = lane.findIndex(({ask}) => ask.deadline >= deadline);
	return first === -1 ? lane.length : first;
}

/** The number of asks in a lane that have this deadline or an earlier one. */
export function countUntil(lane: readonly QueuedAsk[], deadline: Instant): number {
	let low = 0;
	let high = lane.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (lane[middle]!.ask.deadline <= deadline) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
