import {type Quota, type Workspace} from 'redwingmill-text';
import {digestIdOf} from '../model/node-status.js';

/** A workspace with a quota. */
export type QuotaEntry = {readonly id: number; readonly name: string; readonly quota: Quota};

/** The workspaces of one version of the configuration that have quotas, by name and identifier. */
export class QuotaIndex {
	readonly byName: ReadonlyMap<string, QuotaEntry>;
	readonly byId: ReadonlyMap<number, QuotaEntry>;

	constructor(workspaces: Iterable<Workspace>) {
		const byName = new Map<string, QuotaEntry>();
		const byId = new Map<number, QuotaEntry>();
		const sorted = [...workspaces].toSorted((a, b) => (a.name < b.name ? -1 : 1));
		for (const {name, quota} of sorted) {
			if (quota === undefined) {
				continue;
			}

			let id = digestIdOf(name);
			// All nodes sort alike, so names with the same hash get the same identifiers everywhere.
			while (byId.has(id)) {
				id = (id + 1) % 0x1_00_00_00_00;
			}

			const entry = {id, name, quota};
			byName.set(name, entry);
			byId.set(id, entry);
		}

		this.byName = byName;
		this.byId = byId;
	}
}

export const emptyQuotaIndex = new QuotaIndex([]);
