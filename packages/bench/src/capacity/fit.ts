/** A straight line through measured points, by least squares. */

/** One measurement: `size` of what was varied, and what it cost. */
export type Point = {readonly size: number; readonly cost: number};

/** `cost = base + slope * size`; `spread` is the largest distance of a point from the line, as a share of the largest cost. */
export type Fit = {readonly base: number; readonly slope: number; readonly spread: number};

/** Fits a line through at least two points of different sizes. */
export function computeFit(points: readonly Point[]): Fit {
	const meanSize = computeMean(points.map(point => point.size));
	const meanCost = computeMean(points.map(point => point.cost));
	let covariance = 0;
	let variance = 0;
	for (const {size, cost} of points) {
		covariance += (size - meanSize) * (cost - meanCost);
		variance += (size - meanSize) ** 2;
	}

	const slope = covariance / variance;
	const base = meanCost - (slope * meanSize);
	const distances = points.map(({size, cost}) => Math.abs(cost - base - (slope * size)));
	return {base, slope, spread: Math.max(...distances) / Math.max(...points.map(point => Math.abs(point.cost)))};
}

function computeMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
