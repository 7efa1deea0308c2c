/** The ideal baseline: one queue per service over the same slots, earliest deadline first, with all run times known in advance. */
import type {PlannedRequest} from '@rhubarblever/stand-ins';

/** Returns the ids of the requests that the ideal schedule answers within their deadlines. */
export function scheduleIdeally(planned: readonly PlannedRequest[], slotsPerService: number): ReadonlySet<string> {
	const services = new Set(planned.map(request => request.service));
	const answered = new Set<string>();
	for (const service of services) {
		const queue = IdealQueue.create(slotsPerService, answered);
		for (const request of planned.filter(candidate => candidate.service === service)) {
			queue.add(request);
		}

		queue.runUntil(Number.POSITIVE_INFINITY);
	}

	return answered;
}

class IdealQueue {
	static create(slots: number, answered: Set<string>): IdealQueue {
		return new IdealQueue(slots, answered);
	}

	/** When each slot becomes free. */
	private readonly freeAt: number[];
	/** Waiting requests, earliest deadline first. */
	private readonly waiting: PlannedRequest[] = [];

	private constructor(slots: number, private readonly answered: Set<string>) {
		this.freeAt = Array.from({length: slots}, () => 0);
	}

	/** Adds a request; requests must be added in the order of their arrival. */
	add(request: PlannedRequest): void {
		this.runUntil(request.arrivalAt);
		const index = this.waiting.findIndex(other => other.deadlineAt > request.deadlineAt);
		this.waiting.splice(index === -1 ? this.waiting.length : index, 0, request);
		this.runUntil(request.arrivalAt);
	}

	/** Starts waiting requests on all slots that become free up to an instant; drops requests that cannot meet their deadline. */
	runUntil(until: number): void {
		while (this.waiting.length > 0) {
			const freeAt = Math.min(...this.freeAt);
			if (freeAt > until) {
				return;
			}

			const [next] = this.waiting.splice(0, 1);
			if (next) {
				this.start(next, freeAt);
			}
		}
	}

	private start(request: PlannedRequest, freeAt: number): void {
		const endAt = Math.max(freeAt, request.arrivalAt) + request.runMs;
		if (endAt > request.deadlineAt) {
			return;
		}

		this.freeAt[this.freeAt.indexOf(freeAt)] = endAt;
		this.answered.add(request.requestId);
	}
}
