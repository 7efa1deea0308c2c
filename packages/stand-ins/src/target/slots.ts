/** The slots of a target: they limit how many requests run concurrently. Requests beyond the limit are refused or queued. */
export type WhenFull = 'refuse' | 'queue';

export class Slots {
	static create(count: number, whenFull: WhenFull): Slots {
		return new Slots(count, whenFull);
	}

	private taken = 0;
	private waiting: Array<() => void> = [];

	private constructor(private readonly count: number, private readonly whenFull: WhenFull) {}

	get isFull(): boolean {
		return this.taken >= this.count;
	}

	/** Number of running and queued requests. */
	get load(): number {
		return this.taken + this.waiting.length;
	}

	/** Takes a slot, waiting in order of arrival if requests queue; false if the request is refused. */
	async take(): Promise<boolean> {
		if (!this.isFull) {
			this.taken += 1;
			return true;
		}

		if (this.whenFull === 'refuse') {
			return false;
		}

		await new Promise<void>(resolve => {
			this.waiting.push(resolve);
		});
		return true;
	}

	/** Releases a slot and passes it to the longest-waiting request. */
	release(): void {
		const next = this.waiting.shift();
		if (next) {
			next();
		} else {
			this.taken -= 1;
		}
	}

	/** Forgets all running and queued requests, after a crash. */
	reset(): void {
		this.taken = 0;
		this.waiting = [];
	}
}
