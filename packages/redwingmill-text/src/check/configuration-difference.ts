import {isDeepStrictEqual} from 'node:util';
import {type Configuration, type Route, type Service, type Workspace} from '../configuration.js';
import {routeName} from './check-configuration.js';

/** Effect of a new configuration on one entry. Never contains a key. */
export type ConfigurationChange = {
	readonly kind: 'service' | 'route' | 'workspace';
	readonly name: string;
	readonly effect: 'added' | 'removed' | 'changed';
	/** Names of the changed fields; only of changed entries. */
	readonly fields: readonly string[];
	/** Numbers of keys that are accepted and refused from then on; only of workspaces. */
	readonly keys?: {readonly added: number; readonly removed: number};
};

/** Returns what changes from one configuration to another, by entry. */
export function configurationChanges(
	from: Configuration,
	to: Configuration,
): readonly ConfigurationChange[] {
	return [
		...changesOf<Service>('service', from.services, to.services, ({name}) => name),
		...changesOf<Route>('route', from.routes, to.routes, routeName),
		...changesOf<Workspace>(
			'workspace',
			from.workspaces ?? [],
			to.workspaces ?? [],
			({name}) => name,
		).map((change) => ({...change, keys: keyChanges(from, to, change.name)})),
	];
}

function changesOf<Entry extends object>(
	kind: ConfigurationChange['kind'],
	from: readonly Entry[],
	to: readonly Entry[],
	nameOf: (entry: Entry) => string,
): readonly ConfigurationChange[] {
	const before = new Map(from.map((entry) => [nameOf(entry), entry]));
	const after = new Map(to.map((entry) => [nameOf(entry), entry]));
	const changes: ConfigurationChange[] = [];
	for (const [name, entry] of after) {
		const old = before.get(name);
		if (old === undefined) {
			changes.push({kind, name, effect: 'added', fields: []});
		} else if (!isDeepStrictEqual(old, entry)) {
			changes.push({kind, name, effect: 'changed', fields: changedFields(old, entry)});
		}
	}

	for (const name of before.keys()) {
		if (!after.has(name)) {
			changes.push({kind, name, effect: 'removed', fields: []});
		}
	}

	return changes;
}

function changedFields(from: object, to: object): readonly string[] {
	const before = new Map<string, unknown>(Object.entries(from));
	const after = new Map<string, unknown>(Object.entries(to));
	return [...new Set([...before.keys(), ...after.keys()])].filter(
		(field) => !isDeepStrictEqual(before.get(field), after.get(field)),
	);
}

function keyChanges(from: Configuration, to: Configuration, name: string) {
	const keysOf = ({workspaces = []}: Configuration) =>
		new Set(workspaces.find((workspace) => workspace.name === name)?.keys);
	const before = keysOf(from);
	const after = keysOf(to);
	return {
		added: [...after].filter((key) => !before.has(key)).length,
		removed: [...before].filter((key) => !after.has(key)).length,
	};
}
