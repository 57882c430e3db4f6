import {type Route} from '../configuration.js';

/**
 * Returns the routes that no call can match, since earlier ones with the same path take all of their
 * hosts and methods. Routes with longer paths can't hide one: a call for exactly its path remains.
 *
 * @param routes - in the order in which calls are matched, longest path first.
 */
export function hiddenRoutes(routes: readonly Route[]): readonly Route[] {
	const earlierByPath = new Map<string, Route[]>();
	const hidden: Route[] = [];
	for (const route of routes) {
		const earlier = earlierByPath.get(route.path) ?? [];
		if (isCovered(route, earlier)) {
			hidden.push(route);
		}

		earlierByPath.set(route.path, [...earlier, route]);
	}

	return hidden;
}

function isCovered(route: Route, earlier: readonly Route[]): boolean {
	// A route without a host also takes calls for hosts that no route names, which only others without one hide.
	const covering = earlier.filter(({host}) => host === undefined || host === route.host);
	const takesAll = covering.some(({methods}) => methods.length === 0);
	return (
		takesAll ||
		(route.methods.length > 0 &&
			route.methods.every((method) => covering.some(({methods}) => methods.includes(method))))
	);
}
