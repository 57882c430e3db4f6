import {type DirectoryBoard, type DirectoryState} from './directory-board.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';

/** Decides whether this node takes calls. */
export class StandingController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		const {standing} = update.pending;
		const next = requestedState(event) ?? nextState(update.pending, context);
		if (next !== standing.state) {
			update.set('standing', {state: next, since: context.now});
			const notice = {type: 'directory-state', from: standing.state, to: next} as const;
			update.emit({type: 'notify', notice});
		}
	}
}

function requestedState({type}: DirectoryEvent): DirectoryState | undefined {
	switch (type) {
		case 'stop-requested': {
			return 'stopping';
		}

		case 'leave-requested': {
			return 'leaving';
		}

		default: {
			return undefined;
		}
	}
}

/** A node serves once it holds a configuration and has had the chance to find the others. */
function nextState(board: DirectoryBoard, {now, limits}: DirectoryContext): DirectoryState {
	const {standing, adoption, registry, members} = board;
	if (standing.state !== 'starting') {
		return standing.state;
	}

	const hasPeers = registry.isKnown || members.reachable.length > 1;
	const hasWaited = now - standing.since >= limits.registryPatienceMs;
	return adoption.held !== undefined && (hasPeers || hasWaited) ? 'serving' : 'starting';
}
