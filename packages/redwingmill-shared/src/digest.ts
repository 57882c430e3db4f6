import {sha256} from '@noble/hashes/sha2';
import {bytesToHex, utf8ToBytes} from '@noble/hashes/utils';

const digestBytes = 8;

/** Returns the first 64 bits of the SHA-256 of a UTF-8 text as 16 lower-case hexadecimal digits. */
export function digestOf(text: string): string {
	return bytesToHex(sha256(utf8ToBytes(text)).subarray(0, digestBytes));
}

/** Sorts `candidates` by rendezvous hashing of `key`, so that every node computes the same order. */
export function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
	return candidates
		.map((candidate) => ({candidate, score: digestOf(`${key}|${candidate}`)}))
		.toSorted((a, b) => (a.score < b.score ? 1 : -1))
		.map(({candidate}) => candidate);
}
