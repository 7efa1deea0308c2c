/** Run times for tests, drawn from seeded distributions. */
import {ModelTime} from './model-time.js';

const drawRange = 1_000_000;
const percentAll = 100;

export class RunTimeDraws {
	static create(seed: number): RunTimeDraws {
		return new RunTimeDraws(ModelTime.create(seed));
	}

	private constructor(private readonly time: ModelTime) {}

	/** Between 0 and 1, both left out. */
	drawShare(): number {
		return (this.time.draw(0, drawRange - 1) + 0.5) / drawRange;
	}

	draw(least: number, most: number): number {
		return this.time.draw(least, most);
	}

	/** Lognormal factor with median 1. */
	drawFactor(spread: number): number {
		const normal = Math.sqrt(-2 * Math.log(this.drawShare())) * Math.cos(2 * Math.PI * this.drawShare());
		return Math.exp(spread * normal);
	}

	/** A run time around `medianMs`, of which a few percent take seven times as long. */
	drawRunMs(medianMs: number, spread: number, longPercent: number): number {
		return medianMs * this.drawFactor(spread) * (this.drawShare() * percentAll < longPercent ? 7 : 1);
	}
}

/** The value that the given share of a list does not exceed. */
export function computeExact(values: readonly number[], share: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)]!;
}
