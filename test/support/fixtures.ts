import {FakeMesh} from './fake-mesh.js';
import {type NodeSettings} from './fake-node.js';

export const dataCentres = ['dc-a', 'dc-b', 'dc-c'] as const;
export const services = ['diary', 'submission', 'coding'] as const;

/** Returns a valid configuration text; texts with different deadlines are different versions. */
export function configurationTextWith(deadlineMs: number): string {
	return JSON.stringify({
		services: {coding: {}, diary: {dependsOn: ['coding']}, submission: {dependsOn: ['diary']}},
		routes: [
			{path: '/diary', service: 'diary', deadlineMs},
			{path: '/submission', service: 'submission', methods: ['POST'], deadlineMs},
			{path: '/coding', service: 'coding', deadlineMs},
		],
	});
}

/** Returns the settings of one node for each service in each data centre. */
export function nodeSettingsFor(names: readonly string[] = dataCentres): NodeSettings[] {
	return names.flatMap((dataCentre) =>
		services.map((service) => ({
			address: `${dataCentre}-${service}`,
			dataCentre,
			service,
			seeds: [`${dataCentre}-${services[0]}`, `${dataCentre}-${services[1]}`],
		})),
	);
}

/** Returns a mesh that has version 1 in force on every node. */
export function runningMesh(seed: number): FakeMesh {
	const mesh = new FakeMesh(seed);
	for (const settings of nodeSettingsFor()) {
		mesh.start(settings);
	}

	mesh.apply(configurationTextWith(1000));
	mesh.run(10_000, () => mesh.isInForce(1));
	mesh.run(1000);
	return mesh;
}
