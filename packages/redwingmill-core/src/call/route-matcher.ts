import {type RouteState} from '../model/routing-table.js';

/**
 * The route of a call: the longest path that is a whole-segment prefix, then the method.
 *
 * @param host - host that the call names, in lower case and without a port.
 */
export function matchRoute(
	routes: readonly RouteState[],
	method: string,
	path: string,
	host?: string,
): RouteState | undefined {
	return routes.find(
		({route}) =>
			(route.host === undefined || route.host === host) &&
			(route.methods.length === 0 || route.methods.includes(method)) &&
			isPathPrefix(route.path, path),
	);
}

function isPathPrefix(prefix: string, path: string): boolean {
	if (!path.startsWith(prefix)) {
		return false;
	}

	const next = path[prefix.length];
	return prefix.endsWith('/') || next === undefined || next === '/' || next === '?';
}
