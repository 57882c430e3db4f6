import {type ObjectKind} from 'redwingmill-core';

/** API group and version of redwingmill's object kinds. */
export const apiVersion = 'redwingmill.dev/v1';

/** Plural resource names that stand for the kinds in request paths. */
const resourceNames: Readonly<Record<ObjectKind, string>> = {
	ConfigurationText: 'configurationtexts',
	DataCentre: 'datacentres',
	Acceptance: 'acceptances',
};

/** Returns the path of the collection of a kind, or of one object if `name` is given. */
export function objectPath(kind: ObjectKind, name?: string): string {
	const collection = `/apis/${apiVersion}/${resourceNames[kind]}`;
	return name === undefined ? collection : `${collection}/${encodeURIComponent(name)}`;
}

/**
 * Returns the kind and, unless the path is that of a collection, the object name; undefined for any
 * other path.
 */
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
