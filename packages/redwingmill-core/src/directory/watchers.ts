import {aliveIndexOf} from './alive-index.js';
import {type DirectoryLimits} from './directory-limits.js';
import {type MembersSection} from './directory-state.js';

/** Whether there are so few nodes that each one watches the store and sends heartbeats to all. */
export function isSmallMesh({peers}: MembersSection, {smallMeshNodes}: DirectoryLimits): boolean {
	return peers.size < smallMeshNodes;
}

/** Returns the control addresses of the watchers of a data centre; none when no node there is alive. */
export function watchersOf(
	{alive}: MembersSection,
	dataCentre: string,
	{watchersPerDataCentre}: DirectoryLimits,
): readonly string[] {
	return aliveIndexOf(alive).get(dataCentre)?.ranking.slice(0, watchersPerDataCentre) ?? [];
}

/** Whether this node is among the watchers of its data centre. */
export function isWatcher(members: MembersSection, limits: DirectoryLimits): boolean {
	const {address, dataCentre} = members.self;
	return watchersOf(members, dataCentre, limits).includes(address);
}
