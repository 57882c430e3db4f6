import {type ObjectKind} from 'redwingmill-core';

/** Group and version of the system's own kinds. */
export const apiVersion = 'redwingmill.dev/v1';

const resourceNames: Readonly<Record<ObjectKind, string>> = {
	ConfigurationText: 'configurationtexts',
	DataCentre: 'datacentres',
	Acceptance: 'acceptances',
};

/** Path of all objects of a kind, or of one object. */
export function objectPath(kind: ObjectKind, name?: string): string {
	const collection = `/apis/${apiVersion}/${resourceNames[kind]}`;
	return name === undefined ? collection : `${collection}/${encodeURIComponent(name)}`;
}

/** What a path names; undefined when it isn't a path of the system's kinds. */
export function parseObjectPath(
	path: string,
): {readonly kind: ObjectKind; readonly name?: string} | undefined {
	for (const kind of Object.keys(resourceNames) as ObjectKind[]) {
		const collection = objectPath(kind);
		if (path === collection) {
			return {kind};
		}

		if (path.startsWith(`${collection}/`)) {
			return {kind, name: decodeURIComponent(path.slice(collection.length + 1))};
		}
	}

	return undefined;
}
