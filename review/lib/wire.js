/** Returns a value with the keys of its objects as the platform spells them: `path_prefix` for `pathPrefix`. */
export function toWire(value) {
	if (Array.isArray(value)) {
		return value.map((each) => toWire(each));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	const entries = Object.entries(value).map(([key, each]) => [
		key.replaceAll(/[A-Z]/gv, (letter) => `_${letter.toLowerCase()}`),
		toWire(each),
	]);
	return Object.fromEntries(entries);
}

/** Returns the bounds that the platform gives the nodes of the small deployments. */
export const smallBounds = toWire({
	retryBudgetRatio: 0.2,
	budgetSlack: 60,
	budgetWindowS: 10,
	graceS: 6,
});

/**
 * Returns a configuration of the small deployments.
 *
 * @param routes - by name, each with its prefix, kind, service and times.
 * @param services - names of all services.
 */
export function configurationOf(routes, services) {
	const named = Object.entries(routes).map(([name, route]) => [
		name,
		{host: 'review.example', priority: 1, maxAttempts: 2, ...route},
	]);
	return toWire({
		version: 1,
		routes: Object.fromEntries(named),
		services: Object.fromEntries(
			services.map((name) => [name, {healthPath: '/health', maxConnections: 120}]),
		),
		limits: {
			maxHeaderBytes: 16_384,
			maxBodyBytes: 67_108_864,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
	});
}
