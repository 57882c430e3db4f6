import {type DirectoryController, type DirectoryUpdate} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';

/** Exchanges reports of requests suspected of crashing workers with the other nodes. */
export class CrashReportController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent): void {
		if (event.type === 'crash-reported') {
			const datagram = {type: 'suspicion', report: event.report} as const;
			// Such requests are rare, and each can crash several workers.
			for (const to of update.pending.members.peers.keys()) {
				update.emit({type: 'send', to, datagram});
			}
		} else if (event.type === 'datagram' && event.datagram.type === 'suspicion') {
			update.emit({type: 'suspect', report: event.datagram.report, node: event.from});
		}
	}
}
