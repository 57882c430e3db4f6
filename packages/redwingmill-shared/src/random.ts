import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {digestOf} from './digest.js';

const fractionSteps = 0x7f_ff_ff_ff;
const seedHexDigits = 8;
const hexadecimalRadix = 16;

/** Seeded pseudo-random numbers. Two generators with one seed give the same sequence. */
export class Random {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(hashSeed(seed));
	}

	/** A number from 0 inclusive to 1 exclusive. */
	fraction(): number {
		return unsafeUniformIntDistribution(0, fractionSteps - 1, this.#generator) / fractionSteps;
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
 * the generator's first numbers would be close as well.
 */
function hashSeed(seed: number): number {
	return Number.parseInt(digestOf(String(seed)).slice(0, seedHexDigits), hexadecimalRadix);
}
