/**
 * Returns the limit per member at which all members together get a share of what they ask for: those that ask for
 * less get all of it, and the others the same (max-min fairness).
 *
 * @param asked - what each member asks for, above 0.
 * @param share - part of the sum to give, from 0 to 1.
 */
export function fairLimitOf(asked: readonly number[], share: number): number {
	const ascending = asked.toSorted((a, b) => a - b);
	let left = ascending.reduce((sum, each) => sum + each, 0) * share;
	let members = ascending.length;
	for (const each of ascending) {
		if (each * members >= left) {
			break;
		}

		left -= each;
		members -= 1;
	}

	return members === 0 ? Number.POSITIVE_INFINITY : left / members;
}
