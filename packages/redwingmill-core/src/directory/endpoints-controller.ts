import {deriveRouting} from '../model/derive-routing.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';

const nonePreviouslyActivated: ReadonlySet<string> = new Set();

/** Derives the routing table in the same commit that changes the version held or the reachable nodes. */
export class EndpointsController implements DirectoryController {
	handle(update: DirectoryUpdate, _event: DirectoryEvent, _context: DirectoryContext): void {
		const {adoption, members} = update.pending;
		const isUnchanged =
			adoption.held === update.current.adoption.held &&
			members.reachable === update.current.members.reachable;
		if (isUnchanged || adoption.held === undefined) {
			return;
		}

		const {reachable} = members;
		const previous = update.pending.routing;
		const {routing} = deriveRouting(adoption.held, reachable, nonePreviouslyActivated, previous);
		update.set('routing', routing);
	}
}
