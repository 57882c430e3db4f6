/** Share of a new attempt in the moving average of a service's failures. */
const smoothing = 0.03;
/** Failures in a row after which an endpoint is ejected, whatever the others do. */
const leastFailures = 3;
const mostFailures = 20;
/** Probability of a series of failures that an endpoint like the others may have without being ejected. */
const seriesProbability = 0.02;
/** Maximum number of services. Operators' texts already limit them; this guards against mistakes. */
const maximumServices = 5000;

/**
 * Share of a node's attempts that failed at each service, whichever endpoint they went to. An endpoint is an
 * outlier only by what it fails beyond that: while all endpoints of a service fail alike, none is better.
 */
export class ServiceFailures {
	readonly #shares = new Map<string, number>();

	record(service: string, isFailure: boolean): void {
		const share = this.#shares.get(service);
		if (share !== undefined || (isFailure && this.#shares.size < maximumServices)) {
			const mean = share ?? 0;
			this.#shares.set(service, mean + smoothing * ((isFailure ? 1 : 0) - mean));
		}
	}

	/** Returns the share of failed attempts, from 0 to 1. */
	shareOf(service: string): number {
		return this.#shares.get(service) ?? 0;
	}

	/** Returns the number of failures in a row that are unlikely at an endpoint like the others. */
	failuresToEject(service: string): number {
		const share = this.shareOf(service);
		const failures = share <= 0 ? leastFailures : Math.log(seriesProbability) / Math.log(share);
		return Math.min(mostFailures, Math.max(leastFailures, Math.ceil(failures)));
	}
}
