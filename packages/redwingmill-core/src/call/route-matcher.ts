import {type RouteState} from '../model/routing-table.js';

/** Routes that apply to calls to each host, longest path first; `undefined` stands for all others. */
type RoutesByHost = ReadonlyMap<string | undefined, readonly RouteState[]>;

/** Cache by the routes of a table; an entry lives as long as its version of the configuration. */
const indexCache = new WeakMap<readonly RouteState[], RoutesByHost>();

/**
 * Returns the route of a call: the one with the longest path that is a prefix of whole segments and
 * whose methods include the call's.
 *
 * @param routes - longest path first.
 * @param host - host of the call, in lower case and without a port.
 */
export function matchRoute(
	routes: readonly RouteState[],
	method: string,
	path: string,
	host?: string,
): RouteState | undefined {
	const byHost = indexByHost(routes);
	// Routes without a host are in every host's list, so that one order by path covers both kinds.
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
	const byHost = new Map([...hosts].map((host) => [host, new Array<RouteState>()]));
	for (const state of routes) {
		const {host} = state.route;
		const lists = host === undefined ? [...byHost.values()] : [byHost.get(host)!];
		for (const list of lists) {
			list.push(state);
		}
	}

	indexCache.set(routes, byHost);
	return byHost;
}

function isPathPrefix(prefix: string, path: string): boolean {
	if (!path.startsWith(prefix)) {
		return false;
	}

	const next = path[prefix.length];
	return prefix.endsWith('/') || next === undefined || next === '/' || next === '?';
}
