/** What all clients of a process share: the memory that they may hold together, for connections, requests that are not complete, bodies and requests sent ahead, and the turns of the latter. */
import {EvictionOrder, type Evictable} from './eviction-order.js';
import {TurnQueue} from './turn-queue.js';

export class ClientBudget {
	/** `maxBytes`: an estimate of resident memory. */
	static create(maxBytes: number): ClientBudget {
		return new ClientBudget(maxBytes);
	}

	readonly order = EvictionOrder.create();
	readonly turns = TurnQueue.create();
	private usedBytes = 0;

	private constructor(private readonly maxBytes: number) {}

	/** Changes what a connection holds. If that is over the budget, other connections are evicted; false if this was not enough. */
	update(connection: Evictable, changeBytes: number): boolean {
		this.usedBytes += changeBytes;
		if (changeBytes <= 0) {
			return true;
		}

		while (this.usedBytes > this.maxBytes) {
			if (!this.order.evictOldest(connection)) {
				return false;
			}
		}

		return true;
	}
}
