import {type Configuration, type Route} from 'redwingmill-text';
import {isRoutable, type NodeRecord} from './node-record.js';
import {
	type Endpoint,
	type InactiveReason,
	type RoutingTable,
	type RouteState,
} from './routing-table.js';

/** A version of the configuration to route by. */
export type RoutingSource = {
	readonly version: number;
	readonly configuration: Configuration;
};

/** Routing table with the services that were ever active under it or before. */
export type DerivedRouting = {
	readonly routing: RoutingTable;
	readonly activated: ReadonlySet<string>;
};

/** Routing table for a configuration and the nodes known. */
export function deriveRouting(
	{version, configuration}: RoutingSource,
	records: Iterable<NodeRecord>,
	previouslyActivated: ReadonlySet<string>,
): DerivedRouting {
	const endpoints = endpointsByService(configuration, records);
	const activated = activeServices(configuration, endpoints, previouslyActivated);
	return {routing: deriveTable(version, configuration, endpoints, activated), activated};
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

function endpointOf(record: NodeRecord): Endpoint | undefined {
	const {worker} = record;
	if (worker === undefined || !isRoutable(record)) {
		return undefined;
	}

	return {
		node: record.address,
		gateAddress: record.gateAddress,
		dataCentre: record.dataCentre,
		incarnation: record.incarnation,
		service: worker.service,
		slots: worker.slots,
	};
}

/**
 * Services that are active now or were before. Dependencies gate the first activation only: a
 * service that works isn't stopped because one that it depends on went away.
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

function deriveTable(
	version: number,
	configuration: Configuration,
	endpoints: ReadonlyMap<string, readonly Endpoint[]>,
	activated: ReadonlySet<string>,
): RoutingTable {
	const dependencies = new Map(
		configuration.services.map((service) => [service.name, service.dependsOn]),
	);
	const reasonOf = (service: string): InactiveReason | undefined => {
		if ((endpoints.get(service)?.length ?? 0) === 0) {
			return {type: 'no-ready-endpoint', service};
		}

		if (activated.has(service)) {
			return undefined;
		}

		const missing = dependencies.get(service)?.find((name) => !activated.has(name));
		return {type: 'dependency-inactive', service: missing ?? service};
	};

	const routes = configuration.routes.map((route): RouteState => {
		const reasons = servicesOf(route).map((service) => reasonOf(service));
		const reason = reasons.every((each) => each !== undefined) ? reasons[0] : undefined;
		return reason ? {type: 'inactive', route, reason} : {type: 'active', route};
	});
	return {version, routes, endpoints};
}

/** Services that calls of a route may go to. */
function servicesOf({service, split}: Route): readonly string[] {
	return split ? split.map((destination) => destination.service) : [service];
}
