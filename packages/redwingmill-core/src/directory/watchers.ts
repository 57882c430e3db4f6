import {type NodeRecord} from '../model/node-record.js';
import {type DirectoryLimits} from './directory-limits.js';
import {type MembersSection} from './directory-state.js';

/** Whether there are so few nodes that each one watches the store. */
export function isSmallMesh({peers}: MembersSection, {smallMeshNodes}: DirectoryLimits): boolean {
	return peers.size < smallMeshNodes;
}

/**
 * Returns the control addresses of the local data centre's nodes, including this one, by descending
 * priority for watching the store. The widest link comes first, because the store sends each version
 * whole. Nodes that know the same records compute the same order.
 */
export function rankWatchers({self, records, peers}: MembersSection): string[] {
	const reachable = [...records.values()].filter(
		({address, dataCentre, status}) =>
			dataCentre === self.dataCentre &&
			status === 'live' &&
			peers.get(address)?.lapsedAt === undefined,
	);
	return [self, ...reachable].toSorted(compareLinkWidths).map(({address}) => address);
}

function compareLinkWidths(a: NodeRecord, b: NodeRecord): number {
	const difference = (b.linkMbps ?? 0) - (a.linkMbps ?? 0);
	return difference === 0 ? (a.address < b.address ? -1 : 1) : difference;
}
