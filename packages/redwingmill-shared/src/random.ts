import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

const resolution = 0x7f_ff_ff_ff;
const mixFactors = [0x85_eb_ca_6b, 0xc2_b2_ae_35] as const;

/** Seeded pseudo-random numbers. Two generators with one seed give the same sequence. */
export class Random {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(mix(seed));
	}

	/** A number from 0 inclusive to 1 exclusive. */
	fraction(): number {
		return unsafeUniformIntDistribution(0, resolution - 1, this.#generator) / resolution;
	}

	/** An integer from 0 inclusive to `limit` exclusive. `limit` is at least 1. */
	below(limit: number): number {
		return limit <= 1 ? 0 : unsafeUniformIntDistribution(0, limit - 1, this.#generator);
	}

	/** Full jitter: a duration from 0 to `ceiling` milliseconds. */
	jitter(ceiling: number): number {
		return Math.floor(this.fraction() * ceiling);
	}
}

/**
 * Spreads seeds that are close to each other, such as the start times of nodes that start together:
 * the generator's first numbers would be close as well. The finalizer of MurmurHash3.
 */
function mix(seed: number): number {
	let hash = Math.trunc(seed);
	hash = Math.imul(hash ^ (hash >>> 16), mixFactors[0]);
	hash = Math.imul(hash ^ (hash >>> 13), mixFactors[1]);
	return hash ^ (hash >>> 16);
}
