import {type NodeRecord} from '../model/node-record.js';
import {type MembersSection} from './directory-state.js';
import {type DirectoryLimits} from './directory-limits.js';

/** Whether every node watches the store, as there are few. */
export function isSmallMesh(
	{peers: contacts}: MembersSection,
	{smallMeshNodes: watchingNodes}: DirectoryLimits,
): boolean {
	return contacts.size < watchingNodes;
}

/**
 * Addresses of the own data centre's nodes in the order in which they are to watch the store, the own
 * included: those with the widest links first, as each version comes whole. All nodes that know the
 * same ones compute the same order.
 */
export function rankWatchers({self, records, peers: contacts}: MembersSection): string[] {
	const present = [...records.values()].filter(
		({address, dataCentre, status}) =>
			dataCentre === self.dataCentre &&
			status === 'live' &&
			contacts.get(address)?.lapsedAt === undefined,
	);
	return [self, ...present].toSorted(compareLinkWidths).map(({address}) => address);
}

function compareLinkWidths(a: NodeRecord, b: NodeRecord): number {
	const wider = (b.linkMbps ?? 0) - (a.linkMbps ?? 0);
	return wider === 0 ? (a.address < b.address ? -1 : 1) : wider;
}
