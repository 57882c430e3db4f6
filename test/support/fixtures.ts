import {FakeMesh} from './fake-mesh.js';
import {type NodeSettings} from './fake-node.js';

export const dataCentres = ['dc-a', 'dc-b', 'dc-c'] as const;
export const services = ['diary', 'submission', 'coding'] as const;

/** A valid text; texts of different deadlines differ. */
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

/** Sites of a mesh with one node for each service in each data centre. */
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

/** A mesh that has its first version in force everywhere. */
export function runningMesh(seed: number): FakeMesh {
	const mesh = new FakeMesh(seed);
	for (const site of nodeSettingsFor()) {
		mesh.start(site);
	}

	mesh.apply(configurationTextWith(1000));
	mesh.run(10_000, () => mesh.isInForce(1));
	mesh.run(1000);
	return mesh;
}
