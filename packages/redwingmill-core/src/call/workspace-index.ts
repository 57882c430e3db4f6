import {type Configuration, type Route, type Workspace} from 'redwingmill-text';

/** Decision on the key of a call. */
export type Authorization =
	/** The call may be made; `workspace` is absent on public routes and without workspaces. */
	| {readonly type: 'authorized'; readonly workspace?: Workspace}
	/** The key is missing or belongs to no workspace. */
	| {readonly type: 'denied'};

const withoutWorkspace: Authorization = {type: 'authorized'};
const denied: Authorization = {type: 'denied'};

/** The workspaces of one version of the configuration by their keys. */
export class WorkspaceIndex {
	/** By name. */
	readonly workspaces: ReadonlyMap<string, Workspace>;
	readonly #authorizationsByKey = new Map<string, Authorization>();

	constructor(workspaces: readonly Workspace[]) {
		this.workspaces = new Map(workspaces.map((workspace) => [workspace.name, workspace]));
		for (const workspace of workspaces) {
			for (const key of workspace.keys) {
				this.#authorizationsByKey.set(key, {type: 'authorized', workspace});
			}
		}
	}

	/** @param key - the key that the call carries; undefined if it carries none. */
	authorize(route: Route, key: string | undefined): Authorization {
		if (route.isPublic) {
			return withoutWorkspace;
		}

		return (key === undefined ? undefined : this.#authorizationsByKey.get(key)) ?? denied;
	}
}

/** An entry lives as long as its version of the configuration. */
const indexCache = new WeakMap<readonly Workspace[], WorkspaceIndex>();

/** Returns the index of a configuration's workspaces; undefined if it has none. */
export function workspaceIndexOf({workspaces}: Configuration): WorkspaceIndex | undefined {
	if (workspaces === undefined) {
		return undefined;
	}

	const known = indexCache.get(workspaces);
	if (known) {
		return known;
	}

	const index = new WorkspaceIndex(workspaces);
	indexCache.set(workspaces, index);
	return index;
}
