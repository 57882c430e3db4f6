import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {digestOf} from './digest.js';

const fractionSteps = 0x7f_ff_ff_ff;
const seedHexDigits = 8;
const hexadecimalRadix = 16;

/** Seeded pseudo-random number generator. Generators with equal seeds yield the same sequence. */
export class Random {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(hashSeed(seed));
	}

	/** Returns a number from 0 inclusive to 1 exclusive. */
	fraction(): number {
		return unsafeUniformIntDistribution(0, fractionSteps - 1, this.#generator) / fractionSteps;
	}

	/** Returns an integer from 0 inclusive to `limit` exclusive; `limit` must be at least 1. */
	below(limit: number): number {
		return limit <= 1 ? 0 : unsafeUniformIntDistribution(0, limit - 1, this.#generator);
	}

	/** Returns a duration with full jitter, from 0 to `ceilingMs` milliseconds. */
	jitter(ceilingMs: number): number {
		return Math.floor(this.fraction() * ceilingMs);
	}
}

/**
 * Hashes the seed. Similar seeds, such as the start times of nodes that start together, would
 * otherwise yield similar first numbers.
 */
function hashSeed(seed: number): number {
	return Number.parseInt(digestOf(String(seed)).slice(0, seedHexDigits), hexadecimalRadix);
}
