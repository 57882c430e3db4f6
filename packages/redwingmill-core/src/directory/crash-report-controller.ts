import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {type DirectoryLimits} from './directory-limits.js';
import {localPeers} from './member-actions.js';
import {isSmallMesh, watchersOf} from './watchers.js';

/**
 * Exchanges crash reports with the other nodes. A new report is sent to all of them at once. Heartbeats
 * show which nodes lack some, because a datagram was lost or they were cut off or restarted.
 */
export class CrashReportController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		switch (event.type) {
			case 'crash-reported': {
				const datagram = {type: 'suspicion', report: event.report} as const;
				for (const to of update.pending.members.peers.keys()) {
					update.emit({type: 'send', to, datagram});
				}

				break;
			}

			case 'crash-digest-changed': {
				if (event.digest !== update.pending.crashes.digest) {
					update.set('crashes', {digest: event.digest});
				}

				break;
			}

			case 'datagram': {
				const {from, datagram} = event;
				if (datagram.type === 'suspicion') {
					update.emit({type: 'suspect', report: datagram.report, node: from});
				} else if (datagram.type === 'pulse' || datagram.type === 'digest') {
					compareDigests(update, from, datagram.crashDigest, context);
				}

				break;
			}

			default: {
				break;
			}
		}
	}
}

/** Sends this node's reports to a node with another digest, unless enough others will. */
function compareDigests(
	update: DirectoryUpdate,
	from: string,
	digest: number,
	{now, limits, random}: DirectoryContext,
): void {
	const {crashes} = update.pending;
	if (crashes.digest === 0 || crashes.digest === digest) {
		return;
	}

	const isDue = now - crashes.sentAt >= limits.crashReportIntervalMs;
	const isChosen = random.fraction() * hearersOf(from, update, limits) < limits.crashReportSenders;
	if (isDue && isChosen) {
		update.set('crashes', {sentAt: now});
		update.emit({type: 'send-crash-reports', to: from});
	}
}

/** Returns the number of nodes that hear a node's heartbeats or digests. */
function hearersOf(node: string, update: DirectoryUpdate, limits: DirectoryLimits): number {
	const {members} = update.pending;
	const local = localPeers(members).length;
	if (isSmallMesh(members, limits)) {
		return members.peers.size;
	}

	return watchersOf(members, members.self.dataCentre, limits).includes(node)
		? local
		: limits.watchersPerDataCentre;
}
