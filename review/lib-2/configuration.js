/* What the operator writes. */
/* eslint-disable camelcase -- the platform spells its fields so */

/** Returns a route with the fields of PROTOCOL.md. */
export function routeTo(service, prefix, kind, fields = {}) {
	return {
		host: 'mesh.example',
		path_prefix: prefix,
		kind,
		service,
		timeout_ms: 1500,
		target_latency_ms: 400,
		priority: 1,
		max_attempts: 2,
		...fields,
	};
}

/** Returns a configuration; its limits are those that `fleetbench wire` prints. */
export function configurationOf(version, routes) {
	const names = Object.values(routes).flatMap(
		({service, traffic_split: split}) => split?.map((part) => part.service) ?? [service],
	);
	const services = Object.fromEntries(
		names.map((name) => [name, {health_path: '/health', max_connections: 120}]),
	);
	const limits = {
		max_header_bytes: 16_384,
		max_body_bytes: 67_108_864,
		header_timeout_ms: 3000,
		idle_timeout_ms: 15_000,
	};
	return {version, routes, services, limits};
}
