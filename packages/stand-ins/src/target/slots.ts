/** The slots of a target: how many requests run at once, and what becomes of those beyond. */
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

	/** Requests that run or wait. */
	get load(): number {
		return this.taken + this.waiting.length;
	}

	/** Takes a slot, in the order of arrival where requests queue; false if it is refused. */
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

	/** Gives a slot back, to the request that has waited longest. */
	release(): void {
		const next = this.waiting.shift();
		if (next) {
			next();
		} else {
			this.taken -= 1;
		}
	}

	/** All requests are gone. */
	reset(): void {
		this.taken = 0;
		this.waiting = [];
	}
}
