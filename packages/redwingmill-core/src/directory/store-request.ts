import {backoffDelay} from 'redwingmill-shared';
import {type DirectoryContext} from './directory-controller.js';
import {type RegistryRequest} from './directory-state.js';

export function isDue({isInProgress, dueAt}: RegistryRequest, now: number): boolean {
	return !isInProgress && dueAt <= now;
}

/** Schedules a request at a time in monotonic milliseconds; infinity when none is due. */
export function scheduledAt(dueAt: number): RegistryRequest {
	return {isInProgress: false, dueAt, attempt: 0};
}

/** Schedules another attempt at a request that failed, after a backoff. */
export function failed(
	{attempt}: RegistryRequest,
	{now, limits, random}: DirectoryContext,
): RegistryRequest {
	const dueAt = now + backoffDelay(limits.registryBackoff, attempt, random);
	return {isInProgress: false, dueAt, attempt: attempt + 1};
}

/**
 * Schedules a write that a newer era of the store has voided, at a random time: all nodes write again
 * then, and the time over which they do grows with their number.
 */
export function voided(
	nodes: number,
	{now, limits, random}: Pick<DirectoryContext, 'now' | 'limits' | 'random'>,
): RegistryRequest {
	const spreadMs = Math.min(limits.rewriteSpreadMs, nodes * limits.rewriteSpreadMsPerNode);
	return scheduledAt(now + random.fraction() * spreadMs);
}
