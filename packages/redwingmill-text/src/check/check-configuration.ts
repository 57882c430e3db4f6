import {type Configuration, type Route, type Workspace} from '../configuration.js';
import {hiddenRoutes} from './hidden-routes.js';

/** Something in a valid configuration that is probably a mistake. Never contains a key. */
export type Finding = {
	readonly type:
		| 'route-never-matches'
		| 'destination-without-calls'
		| 'service-unused'
		| 'key-shared'
		| 'target-after-deadline'
		| 'no-time-for-attempts'
		| 'burst-below-one-call';
	/** Name of the route, service or workspace. */
	readonly subject: string;
	readonly message: string;
};

/** Checks a valid configuration for entries without effect and limits that contradict each other. */
export function checkConfiguration(configuration: Configuration): readonly Finding[] {
	const {routes, workspaces = []} = configuration;
	return [
		...hiddenRoutes(routes).map((route): Finding => {
			const message = 'never matches: earlier routes with this path take all of its calls';
			return {type: 'route-never-matches', subject: routeName(route), message};
		}),
		...routes.flatMap((route) => routeFindings(route)),
		...unusedServices(configuration),
		...sharedKeys(workspaces),
		...workspaces.flatMap((workspace) => quotaFindings(workspace)),
	];
}

/** Returns the name of a route in findings: methods, host and path. */
export function routeName({methods, host = '', path}: Route): string {
	return `${methods.length === 0 ? '*' : methods.join(',')} ${host}${path}`;
}

function routeFindings(route: Route): readonly Finding[] {
	const {split = [], targetMs, deadlineMs, maximumAttempts} = route;
	const subject = routeName(route);
	const findings: Finding[] = split
		.filter(({weight}) => weight === 0)
		.map(({service}) => ({
			type: 'destination-without-calls',
			subject,
			message: `${service} gets no calls: its weight is 0`,
		}));
	if (targetMs !== undefined && targetMs > deadlineMs) {
		const message = `the target of ${targetMs} ms is after the deadline of ${deadlineMs} ms`;
		findings.push({type: 'target-after-deadline', subject, message});
	} else if (
		targetMs !== undefined &&
		maximumAttempts !== undefined &&
		maximumAttempts > 1 &&
		targetMs * maximumAttempts > deadlineMs
	) {
		const message = `${maximumAttempts} attempts of ${targetMs} ms don't fit into the deadline of ${deadlineMs} ms`;
		findings.push({type: 'no-time-for-attempts', subject, message});
	}

	return findings;
}

function unusedServices({services, routes}: Configuration): readonly Finding[] {
	const used = new Set([
		...routes.flatMap(({service, split = []}) => [service, ...split.map((each) => each.service)]),
		...services.flatMap(({dependsOn}) => dependsOn),
	]);
	return services
		.filter(({name}) => !used.has(name))
		.map(({name}) => ({
			type: 'service-unused',
			subject: name,
			message: 'no route sends calls there and no service depends on it',
		}));
}

function sharedKeys(workspaces: readonly Workspace[]): readonly Finding[] {
	const owners = new Map<string, string>();
	const findings: Finding[] = [];
	for (const {name, keys} of workspaces) {
		for (const [index, key] of keys.entries()) {
			const owner = owners.get(key);
			if (owner === undefined) {
				owners.set(key, name);
			} else {
				const message = `key ${index + 1} is also one of workspace ${owner}`;
				findings.push({type: 'key-shared', subject: name, message});
			}
		}
	}

	return findings;
}

function quotaFindings({name, quota}: Workspace): readonly Finding[] {
	return quota !== undefined && quota.burst < 1
		? [
				{
					type: 'burst-below-one-call',
					subject: name,
					message: `a burst of ${quota.burst} never allows a whole call`,
				},
			]
		: [];
}
