import {type Configuration, type Route} from 'redwingmill-text';
import {workerIdentityOf} from '../call/worker-notice.js';
import {workspaceIndexOf} from '../call/workspace-index.js';
import {isRoutable, type NodeRecord} from './node-record.js';
import {
	type Endpoint,
	type InactiveReason,
	type RoutingTable,
	type RouteState,
} from './routing-table.js';

/** Configuration version that the routing table is derived from. */
export type RoutingSource = {
	readonly version: number;
	readonly configuration: Configuration;
};

/** A routing table, and the services that are active or were active before. */
export type DerivedRouting = {
	readonly routing: RoutingTable;
	readonly activated: ReadonlySet<string>;
};

/**
 * Derives the routing table for a configuration and the known nodes.
 *
 * @param previous - table in force. Its routes are reused unless the version or the inactive services
 * have changed.
 */
export function deriveRouting(
	{version, configuration}: RoutingSource,
	records: Iterable<NodeRecord>,
	previouslyActivated: ReadonlySet<string>,
	previous?: RoutingTable,
): DerivedRouting {
	const endpoints = endpointsByService(configuration, records);
	const activated = activeServices(configuration, endpoints, previouslyActivated);
	const inactive = inactiveServices(configuration, endpoints, activated);
	const isKept = previous?.version === version && hasSameReasons(previous.inactive, inactive);
	const routes = isKept ? previous.routes : deriveRoutes(configuration, endpoints, inactive);
	const workspaces = workspaceIndexOf(configuration);
	return {
		routing: {version, routes, endpoints, inactive, ...(workspaces && {workspaces})},
		activated,
	};
}

function endpointsByService(
	configuration: Configuration,
	records: Iterable<NodeRecord>,
): Map<string, readonly Endpoint[]> {
	const endpoints = new Map<string, Endpoint[]>(
		configuration.services.map((service) => [service.name, []]),
	);
	for (const record of records) {
		const endpoint = endpointOf(record);
		if (endpoint) {
			endpoints.get(endpoint.service)?.push(endpoint);
		}
	}

	return endpoints;
}

const endpointsByRecord = new WeakMap<NodeRecord, Endpoint>();

/** Returns the endpoint of a record, the same object each time; undefined if it takes no calls. */
function endpointOf(record: NodeRecord): Endpoint | undefined {
	const {worker} = record;
	if (worker === undefined || !isRoutable(record)) {
		return undefined;
	}

	const known = endpointsByRecord.get(record);
	if (known) {
		return known;
	}

	const endpoint: Endpoint = {
		node: record.address,
		gateAddress: record.gateAddress,
		dataCentre: record.dataCentre,
		incarnation: record.incarnation,
		service: worker.service,
		slots: worker.slots,
		worker: workerIdentityOf(worker),
		...(worker.version !== undefined && {version: worker.version}),
	};
	endpointsByRecord.set(record, endpoint);
	return endpoint;
}

/**
 * Returns the services that are active now or were before. Dependencies are required for the first
 * activation only: a running service is not stopped because one that it depends on has gone.
 */
function activeServices(
	{services}: Configuration,
	endpoints: ReadonlyMap<string, readonly Endpoint[]>,
	previous: ReadonlySet<string>,
): Set<string> {
	const activated = new Set<string>();
	for (const {name, dependsOn} of services) {
		const hasEndpoint = (endpoints.get(name)?.length ?? 0) > 0;
		const isReady = hasEndpoint && dependsOn.every((dependency) => activated.has(dependency));
		if (previous.has(name) || isReady) {
			activated.add(name);
		}
	}

	return activated;
}

function inactiveServices(
	{services}: Configuration,
	endpoints: ReadonlyMap<string, readonly Endpoint[]>,
	activated: ReadonlySet<string>,
): Map<string, InactiveReason> {
	const dependencies = new Map(services.map(({name, dependsOn}) => [name, dependsOn]));
	const inactive = new Map<string, InactiveReason>();
	for (const service of dependencies.keys()) {
		if ((endpoints.get(service)?.length ?? 0) === 0) {
			inactive.set(service, {type: 'no-ready-endpoint', service});
		} else if (!activated.has(service)) {
			const missing = dependencies.get(service)?.find((name) => !activated.has(name));
			inactive.set(service, {type: 'dependency-inactive', service: missing ?? service});
		}
	}

	return inactive;
}

function hasSameReasons(
	a: ReadonlyMap<string, InactiveReason>,
	b: ReadonlyMap<string, InactiveReason>,
): boolean {
	return (
		a.size === b.size &&
		[...a].every(([name, reason]) => {
			const other = b.get(name);
			return other?.type === reason.type && other.service === reason.service;
		})
	);
}

function deriveRoutes(
	{routes}: Configuration,
	endpoints: ReadonlyMap<string, readonly Endpoint[]>,
	inactive: ReadonlyMap<string, InactiveReason>,
): readonly RouteState[] {
	const reasonOf = (service: string): InactiveReason | undefined =>
		endpoints.has(service) ? inactive.get(service) : {type: 'no-ready-endpoint', service};
	return routes.map((route): RouteState => {
		const {service, split} = route;
		if (split === undefined && endpoints.has(service) && !inactive.has(service)) {
			return activeStateOf(route);
		}

		const reasons = servicesOf(route).map((service) => reasonOf(service));
		const reason = reasons.every((each) => each !== undefined) ? reasons[0] : undefined;
		return reason ? {type: 'inactive', route, reason} : {type: 'active', route};
	});
}

const activeStates = new WeakMap<Route, RouteState>();

/** Returns the state of a route whose services are active, the same object each time. */
function activeStateOf(route: Route): RouteState {
	const known = activeStates.get(route);
	if (known) {
		return known;
	}

	const state: RouteState = {type: 'active', route};
	activeStates.set(route, state);
	return state;
}

/** Returns the services that calls of a route may be sent to. */
export function servicesOf({service, split}: Pick<Route, 'service' | 'split'>): readonly string[] {
	return split ? split.map((destination) => destination.service) : [service];
}
