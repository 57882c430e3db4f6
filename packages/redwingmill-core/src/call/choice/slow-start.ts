/** Share of its calls that an endpoint gets at first. */
const minimumShare = 0.1;

/**
 * Returns the share of its calls that an endpoint gets while it ramps up: its host has just started, and
 * runs code that isn't compiled yet.
 *
 * @param ageMs - time since the endpoint was added.
 * @param slowStartMs - time over which the share grows to 1; 0 for no ramp.
 */
export function slowStartShare(ageMs: number, slowStartMs: number): number {
	return slowStartMs > 0 ? Math.min(1, Math.max(minimumShare, ageMs / slowStartMs)) : 1;
}
