import {InvariantError} from './errors.js';

/** Throws an {@link InvariantError} if an internal condition doesn't hold. */
export function invariant(condition: unknown, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(message);
	}
}

/**
 * Marks a branch of an exhaustive switch that is unreachable by type. Throws an
 * {@link InvariantError} if a value reaches it at run time.
 */
export function unreachable(value: never): never {
	throw new InvariantError(`unhandled variant: ${JSON.stringify(value)}`);
}
