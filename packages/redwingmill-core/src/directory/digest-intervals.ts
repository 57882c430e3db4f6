import {type DirectoryLimits} from './directory-limits.js';
import {type MembersSection} from './directory-state.js';
import {recordIndexOf} from './record-index.js';

/** Returns an interval that grows with the number of nodes of the local data centre. */
export function scaledByDataCentre(
	intervalMs: number,
	{self, records}: MembersSection,
	{digestScalingNodes}: DirectoryLimits,
): number {
	const local = recordIndexOf(records).byDataCentre.get(self.dataCentre)?.length ?? 0;
	return intervalMs * Math.max(1, local / digestScalingNodes);
}

/** Returns an interval that grows with the number of all nodes. */
export function scaledByMesh(
	intervalMs: number,
	{peers}: MembersSection,
	{relayedScalingNodes}: DirectoryLimits,
): number {
	return intervalMs * Math.max(1, peers.size / relayedScalingNodes);
}
