import {type Service} from './configuration.js';

/** Services in an order in which each follows its dependencies, or the first cycle found. */
export type DependencyOrder =
	| {readonly type: 'ordered'; readonly services: readonly Service[]}
	| {readonly type: 'cyclic'; readonly cycle: readonly string[]};

/** Sorts services topologically. Dependencies that aren't among `services` are ignored. */
export function orderByDependency(services: readonly Service[]): DependencyOrder {
	const byName = new Map(services.map((service) => [service.name, service]));
	const ordered = new Set<Service>();
	const path: string[] = [];

	const visit = (service: Service): readonly string[] | undefined => {
		if (ordered.has(service)) {
			return undefined;
		}

		const start = path.indexOf(service.name);
		if (start !== -1) {
			return [...path.slice(start), service.name];
		}

		path.push(service.name);
		for (const name of service.dependsOn) {
			const dependency = byName.get(name);
			const cycle = dependency && visit(dependency);
			if (cycle) {
				return cycle;
			}
		}

		path.pop();
		ordered.add(service);
		return undefined;
	};

	for (const service of services) {
		const cycle = visit(service);
		if (cycle) {
			return {type: 'cyclic', cycle};
		}
	}

	return {type: 'ordered', services: [...ordered]};
}
