import {type DirectoryState, type DirectoryServingState} from './directory-state.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';

/** Decides whether this node takes calls. */
export class ServingStateController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		const {serving: standing} = update.pending;
		const next = requestedState(event) ?? nextState(update.pending, context);
		if (next !== standing.state) {
			update.set('standing', {state: next, since: context.now});
			const notice = {type: 'directory-state', from: standing.state, to: next} as const;
			update.emit({type: 'notify', notice});
		}
	}
}

function requestedState({type}: DirectoryEvent): DirectoryServingState | undefined {
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
function nextState(board: DirectoryState, {now, limits}: DirectoryContext): DirectoryServingState {
	const {serving: standing, adoption, registry, members} = board;
	if (standing.state !== 'starting') {
		return standing.state;
	}

	const hasPeers = registry.hasBeenListed || members.reachable.length > 1;
	const hasWaited = now - standing.since >= limits.startupRegistryTimeoutMs;
	return adoption.held !== undefined && (hasPeers || hasWaited) ? 'serving' : 'starting';
}
