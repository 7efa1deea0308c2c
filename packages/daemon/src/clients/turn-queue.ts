/** Lets requests that were sent ahead start a few at a time, so that new connections and other callers have their turn between them. */

/** Requests sent ahead that start in one turn of the event loop; a turn accepts one connection of each server. */
const startsPerTurn = 4;

/** Waits for its turn to start the next request that was sent ahead. */
export type TurnTaker = {takeTurn(): void};

export class TurnQueue {
	static create(): TurnQueue {
		return new TurnQueue();
	}

	/** A set keeps the order in which its members were added. */
	private readonly waiting = new Set<TurnTaker>();
	private isScheduled = false;

	private constructor() {}

	add(taker: TurnTaker): void {
		this.waiting.add(taker);
		this.schedule();
	}

	private schedule(): void {
		if (!this.isScheduled && this.waiting.size > 0) {
			this.isScheduled = true;
			setImmediate(() => {
				this.isScheduled = false;
				this.startNext();
				this.schedule();
			});
		}
	}

	private startNext(): void {
		let starts = 0;
		for (const taker of this.waiting) {
			this.waiting.delete(taker);
			taker.takeTurn();
			starts++;
			if (starts >= startsPerTurn) {
				return;
			}
		}
	}
}
