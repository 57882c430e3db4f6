import {type Random} from './random.js';

/** Bounds of an exponential backoff, in milliseconds. */
export type Backoff = {
	readonly baseMs: number;
	readonly ceilingMs: number;
};

/**
 * Returns a delay of an exponential backoff with full jitter, in milliseconds: from 0 to
 * `min(ceilingMs, baseMs * 2^attempt)`.
 */
export function backoffDelay(backoff: Backoff, attempt: number, random: Random): number {
	return random.jitter(Math.min(backoff.ceilingMs, backoff.baseMs * 2 ** Math.min(attempt, 20)));
}
