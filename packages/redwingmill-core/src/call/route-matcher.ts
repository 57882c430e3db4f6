import {type RouteState} from '../model/routing-table.js';

/** Routes of a table that calls to one host may take, longest path first. */
type RoutesByHost = ReadonlyMap<string | undefined, readonly RouteState[]>;

/** Tables that were looked at, by their routes; a table lives as long as its version. */
const indexCache = new WeakMap<readonly RouteState[], RoutesByHost>();

/**
 * The route of a call: the longest path that is a whole-segment prefix, then the method.
 *
 * @param routes - longest path first.
 * @param host - host that the call names, in lower case and without a port.
 */
export function matchRoute(
	routes: readonly RouteState[],
	method: string,
	path: string,
	host?: string,
): RouteState | undefined {
	const byHost = indexByHost(routes);
	// Routes without a host are in every host's list, so that the order by path holds among all.
	const candidates = byHost.get(host) ?? byHost.get(undefined) ?? [];
	return candidates.find(
		({route}) =>
			(route.methods.length === 0 || route.methods.includes(method)) &&
			isPathPrefix(route.path, path),
	);
}

function indexByHost(routes: readonly RouteState[]): RoutesByHost {
	const known = indexCache.get(routes);
	if (known) {
		return known;
	}

	const hosts = new Set([undefined, ...routes.map(({route}) => route.host)]);
	const lists = new Map([...hosts].map((host) => [host, new Array<RouteState>()]));
	for (const state of routes) {
		const {host} = state.route;
		const receivers = host === undefined ? [...lists.values()] : [lists.get(host)!];
		for (const list of receivers) {
			list.push(state);
		}
	}

	indexCache.set(routes, lists);
	return lists;
}

function isPathPrefix(prefix: string, path: string): boolean {
	if (!path.startsWith(prefix)) {
		return false;
	}

	const next = path[prefix.length];
	return prefix.endsWith('/') || next === undefined || next === '/' || next === '?';
}
