/** The order in which connections are closed when there is no room: those that have waited longest in their present phase go first. */

/** A connection that can be closed to make room. */
export type Evictable = {
	/** Closes the connection at once and gives back what it holds. */
	evict(): void;
};

export class EvictionOrder {
	static create(): EvictionOrder {
		return new EvictionOrder();
	}

	/** A set keeps the order in which its members were added. */
	private readonly members = new Set<Evictable>();

	private constructor() {}

	/** Adds a connection as the latest one; it keeps its place if it is there already. */
	add(connection: Evictable): void {
		this.members.add(connection);
	}

	remove(connection: Evictable): void {
		this.members.delete(connection);
	}

	/** Evicts the connection that has waited longest, but never `exempt`; false if there is none. */
	evictOldest(exempt?: Evictable): boolean {
		for (const member of this.members) {
			if (member !== exempt) {
				member.evict();
				return true;
			}
		}

		return false;
	}
}
