/** Seeded random choices. */
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

const fractionSteps = 2 ** 30;

export class SeededRandom {
	static create(seed: number): SeededRandom {
		return new SeededRandom(xoroshiro128plus(seed));
	}

	private constructor(private readonly random: RandomGenerator) {}

	/** A whole number from `from` to `to`, both included. */
	drawInteger(from: number, to: number): number {
		return unsafeUniformIntDistribution(from, to, this.random);
	}

	/** Evenly from 0 to below 1. */
	drawFraction(): number {
		return this.drawInteger(0, fractionSteps - 1) / fractionSteps;
	}

	/** One of a list that is not empty. */
	select<Value>(list: readonly Value[]): Value {
		return list[this.drawInteger(0, list.length - 1)]!;
	}

	/** The same values in another order. */
	drawOrder<Value>(list: readonly Value[]): Value[] {
		return list
			.map(value => ({value, rank: this.drawFraction()}))
			.toSorted((a, b) => a.rank - b.rank)
			.map(({value}) => value);
	}
}
