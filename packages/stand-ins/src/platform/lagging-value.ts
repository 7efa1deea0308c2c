/** A value with a history of up to a minute, so that it can be read as of an earlier instant. */
type Snapshot<Value> = {readonly at: number; readonly value: Value};

const maxLagMs = 60_000;

export class LaggingValue<Value> {
	static create<Value>(): LaggingValue<Value> {
		return new LaggingValue<Value>();
	}

	private snapshots: Array<Snapshot<Value>> = [];

	private constructor() {}

	/** Records a value that is valid from the instant `at` on. */
	record(value: Value, at: number): void {
		this.snapshots.push({at, value});
		const firstNeeded = this.snapshots.findLastIndex(snapshot => snapshot.at <= at - maxLagMs);
		if (firstNeeded > 0) {
			this.snapshots = this.snapshots.slice(firstNeeded);
		}
	}

	/** The value that was valid at an instant; the oldest value for earlier instants. */
	read(at: number): Value | undefined {
		const snapshot = this.snapshots.findLast(candidate => candidate.at <= at) ?? this.snapshots[0];
		return snapshot?.value;
	}
}
