/** A value that is read as it was some time ago. */
type Snapshot<Value> = {readonly at: number; readonly value: Value};

const longestLagMs = 60_000;

export class LaggingValue<Value> {
	static create<Value>(): LaggingValue<Value> {
		return new LaggingValue<Value>();
	}

	private snapshots: Array<Snapshot<Value>> = [];

	private constructor() {}

	/** Keeps a value as the one that holds from `at` on. */
	record(value: Value, at: number): void {
		this.snapshots.push({at, value});
		const firstNeeded = this.snapshots.findLastIndex(snapshot => snapshot.at <= at - longestLagMs);
		if (firstNeeded > 0) {
			this.snapshots = this.snapshots.slice(firstNeeded);
		}
	}

	/** The value that held at an instant; before the first, the first. */
	read(at: number): Value | undefined {
		const snapshot = this.snapshots.findLast(candidate => candidate.at <= at) ?? this.snapshots[0];
		return snapshot?.value;
	}
}
