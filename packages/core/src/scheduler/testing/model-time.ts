/** Time and chance of the model: what is due runs when its time comes, and a seed draws all numbers. */
import {xoroshiro128plus, unsafeUniformIntDistribution, type RandomGenerator} from 'pure-rand';

type Due = {readonly at: number; readonly run: () => void};

export class ModelTime {
	static create(seed: number): ModelTime {
		return new ModelTime(seed);
	}

	now = 0;
	private readonly random: RandomGenerator;
	private readonly dues: Due[] = [];

	private constructor(seed: number) {
		this.random = xoroshiro128plus(seed);
	}

	schedule(inMs: number, run: () => void): void {
		this.dues.push({at: this.now + inMs, run});
	}

	/** Lets time pass and runs what is due, in the order of its time. */
	advance(byMs: number): void {
		this.now += byMs;
		for (const due of this.dues.splice(0).toSorted((a, b) => a.at - b.at)) {
			if (due.at <= this.now) {
				due.run();
			} else {
				this.dues.push(due);
			}
		}
	}

	/** A whole number, both bounds included. */
	draw(least: number, most: number): number {
		return unsafeUniformIntDistribution(least, most, this.random);
	}
}
