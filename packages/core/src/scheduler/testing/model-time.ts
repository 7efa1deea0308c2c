/** Clock and randomness of the model: scheduled actions run when they are due, and all random numbers follow from the seed. */
import {xoroshiro128plus, unsafeUniformIntDistribution, type RandomGenerator} from 'pure-rand';

type ScheduledAction = {readonly at: number; readonly run: () => void};

export class ModelTime {
	static create(seed: number): ModelTime {
		return new ModelTime(seed);
	}

	now = 0;
	private readonly random: RandomGenerator;
	private readonly scheduled: ScheduledAction[] = [];

	private constructor(seed: number) {
		this.random = xoroshiro128plus(seed);
	}

	schedule(inMs: number, run: () => void): void {
		this.scheduled.push({at: this.now + inMs, run});
	}

	/** Advances the time and runs all due actions in the order of their time. */
	advance(byMs: number): void {
		this.now += byMs;
		for (const due of this.scheduled.splice(0).toSorted((a, b) => a.at - b.at)) {
			if (due.at <= this.now) {
				due.run();
			} else {
				this.scheduled.push(due);
			}
		}
	}

	/** A random integer between two bounds, both included. */
	draw(least: number, most: number): number {
		return unsafeUniformIntDistribution(least, most, this.random);
	}
}
