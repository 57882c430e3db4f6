/** Quantiles of a set of values; all 0 when it is empty. */
export type Quantiles = {
	readonly p50: number;
	readonly p99: number;
	readonly max: number;
};

/** Computes quantiles by the nearest-rank method, rounded to `digits` decimals. */
export function quantilesOf(values: readonly number[], digits = 0): Quantiles {
	const sorted = [...values].toSorted((a, b) => a - b);
	const at = (share: number) => {
		const index = Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1);
		return Number((sorted[Math.max(0, index)] ?? 0).toFixed(digits));
	};

	return {p50: at(0.5), p99: at(0.99), max: at(1)};
}
