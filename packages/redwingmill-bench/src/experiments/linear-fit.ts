/** A measured value `y` at `x`. */
export type Point = {
	readonly x: number;
	readonly y: number;
};

/** A line fitted to points by least squares. */
export type LinearFit = {
	readonly intercept: number;
	readonly slope: number;
	/** Largest vertical distance of a point from the line, in units of `y`. */
	readonly largestResidual: number;
	/** Coefficient of determination (R²): share of the variance explained, from 0 to 1. */
	readonly explained: number;
};

/** Fits a line by least squares; needs at least two points with different `x`. */
export function fitLine(points: readonly Point[]): LinearFit {
	const meanX = meanOf(points.map(({x}) => x));
	const meanY = meanOf(points.map(({y}) => y));
	const spread = sumOf(points.map(({x}) => (x - meanX) ** 2));
	const slope = sumOf(points.map(({x, y}) => (x - meanX) * (y - meanY))) / spread;
	const intercept = meanY - slope * meanX;
	const residuals = points.map(({x, y}) => y - (intercept + slope * x));
	const total = sumOf(points.map(({y}) => (y - meanY) ** 2));
	const residualSum = sumOf(residuals.map((residual) => residual ** 2));
	return {
		intercept,
		slope,
		largestResidual: Math.max(...residuals.map((residual) => Math.abs(residual))),
		explained: total === 0 ? 1 : 1 - residualSum / total,
	};
}

function sumOf(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}

function meanOf(values: readonly number[]): number {
	return sumOf(values) / values.length;
}
