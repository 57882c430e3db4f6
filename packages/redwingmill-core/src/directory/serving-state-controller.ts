import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {type DirectoryServingState, type DirectoryState} from './directory-state.js';

/** Decides whether this node accepts calls. */
export class ServingStateController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		const {serving} = update.pending;
		const next = requestedState(event) ?? nextState(update.pending, context);
		if (next !== serving.state) {
			update.set('serving', {state: next, since: context.now});
			const notice = {type: 'directory-state', from: serving.state, to: next} as const;
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

/**
 * A node serves once it holds a configuration and has had the chance to find other nodes: it listed
 * the registry, reached a node or waited long enough. Until then it also waits for a newer version
 * that others announce, because its process may have had that in force before it restarted.
 */
function nextState(state: DirectoryState, {now, limits}: DirectoryContext): DirectoryServingState {
	const {serving, adoption, registry, members} = state;
	if (serving.state !== 'starting') {
		return serving.state;
	}

	const hasPeers = registry.hasBeenListed || members.reachable.length > 1;
	const hasWaited = now - serving.since >= limits.startupRegistryTimeoutMs;
	const isBehind = adoption.newer !== undefined && !hasWaited;
	const mayServe = adoption.held !== undefined && (hasPeers || hasWaited) && !isBehind;
	return mayServe ? 'serving' : 'starting';
}
