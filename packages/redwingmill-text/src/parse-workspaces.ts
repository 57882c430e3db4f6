import {type Node} from 'jsonc-parser';
import {type Quota, type Workspace} from './configuration.js';
import {type JsonReader} from './json-reader.js';

const maximumWorkspaces = 20_000;
const maximumRank = 1000;
const defaultRank = 1;
const maximumPerSecond = 1e9;
const namePattern = /^[A-Za-z0-9][\w.\-]{0,62}$/v;
/** Visible characters only, as a header carries the key. */
const keyPattern = /^[!-~]{1,256}$/v;
const workspaceFields = ['keys', 'priority', 'quota'] as const;
const quotaFields = ['perSecond', 'burst'] as const;

/** Reads the workspaces by name; undefined if the text has none. Faults never show a key. */
export function readWorkspaces(
	node: Node | undefined,
	reader: JsonReader,
): readonly Workspace[] | undefined {
	if (node === undefined) {
		return undefined;
	}

	const fields = reader.fields(node, '$.workspaces');
	if (fields.size > maximumWorkspaces) {
		const range = {path: '$.workspaces', minimum: 0, maximum: maximumWorkspaces};
		reader.report(node.offset, {type: 'out-of-range', ...range});
		return [];
	}

	const ownersByKey = new Map<string, string>();
	return [...fields.values()].map(({name, key, value}) => {
		const path = `$.workspaces.${name}`;
		if (!namePattern.test(name)) {
			reader.report(key.offset, {type: 'invalid-name', path: '$.workspaces', name});
		}

		const workspace = reader.fields(value, path, workspaceFields, ['keys']);
		const priority = workspace.get('priority')?.value;
		const rank = readInteger(priority, `${path}.priority`, reader, maximumRank);
		const quota = readQuota(workspace.get('quota')?.value, `${path}.quota`, reader);
		return {
			name,
			keys: readKeys(
				workspace.get('keys')?.value,
				{path: `${path}.keys`, name, ownersByKey},
				reader,
			),
			rank: rank ?? defaultRank,
			...(quota && {quota}),
		};
	});
}

function readKeys(
	node: Node | undefined,
	{
		path,
		name,
		ownersByKey,
	}: {
		readonly path: string;
		readonly name: string;
		readonly ownersByKey: Map<string, string>;
	},
	reader: JsonReader,
): string[] {
	const keys: string[] = [];
	for (const [index, item] of reader.items(node, path).entries()) {
		const itemPath = `${path}[${index}]`;
		const key = reader.string(item, itemPath);
		if (key === undefined) {
			continue;
		}

		const owner = ownersByKey.get(key);
		if (!keyPattern.test(key)) {
			const expected = 'a key of 1 to 256 visible ASCII characters';
			reader.report(item.offset, {type: 'wrong-type', path: itemPath, expected});
		} else if (owner !== undefined) {
			reader.report(item.offset, {type: 'repeated-key', path: itemPath, workspace: owner});
		}

		ownersByKey.set(key, owner ?? name);
		keys.push(key);
	}

	return keys;
}

/** Returns undefined where the rate is absent or 0: calls aren't limited then. */
function readQuota(node: Node | undefined, path: string, reader: JsonReader): Quota | undefined {
	if (node === undefined) {
		return undefined;
	}

	const fields = reader.fields(node, path, quotaFields, ['perSecond']);
	const read = (name: (typeof quotaFields)[number]) =>
		reader.number(fields.get(name)?.value, `${path}.${name}`, 0, maximumPerSecond);
	const perSecond = read('perSecond') ?? 0;
	const burst = read('burst') ?? 0;
	return perSecond === 0 ? undefined : {perSecond, burst};
}

function readInteger(
	node: Node | undefined,
	path: string,
	reader: JsonReader,
	maximum: number,
): number | undefined {
	const value = reader.number(node, path, 0, maximum);
	if (node && value !== undefined && !Number.isInteger(value)) {
		reader.report(node.offset, {type: 'wrong-type', path, expected: 'a whole number'});
	}

	return value;
}
