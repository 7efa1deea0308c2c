/** A seeded random number generator. */
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

const fractionSteps = 2 ** 30;

export class SeededRandom {
	static create(seed: number): SeededRandom {
		return new SeededRandom(xoroshiro128plus(seed));
	}

	private constructor(private readonly random: RandomGenerator) {}

	/** A uniform integer from `from` to `to`, both included. */
	drawInteger(from: number, to: number): number {
		return unsafeUniformIntDistribution(from, to, this.random);
	}

	/** A uniform number from 0 (included) to 1 (excluded). */
	drawFraction(): number {
		return this.drawInteger(0, fractionSteps - 1) / fractionSteps;
	}

	/** A random element of a non-empty list. */
	select<Value>(list: readonly Value[]): Value {
		return list[this.drawInteger(0, list.length - 1)]!;
	}

	/** The same values in random order. */
	drawPermutation<Value>(list: readonly Value[]): Value[] {
		return list
			.map(value => ({value, rank: this.drawFraction()}))
			.toSorted((a, b) => a.rank - b.rank)
			.map(({value}) => value);
	}
}
