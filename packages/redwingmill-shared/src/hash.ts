const prime = 0x01_00_01_93;
const hashRange = 2 ** 32;

/** Returns a 32-bit hash of a text, as an integer from 0. It spreads well but isn't cryptographic. */
export function hashOf(text: string): number {
	let hash = 0;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- code units are enough to mix
		hash = Math.imul(hash, prime) + text.charCodeAt(index) + 1;
	}

	// `Math.imul` returns a signed number.
	return ((hash % hashRange) + hashRange) % hashRange;
}
