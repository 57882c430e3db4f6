import {type Blackboard, type ServingState} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {isNewerVersion} from '../model/version.js';
import {hasFreshAcceptance, newestStaged} from './report.js';

/** Decides whether this node accepts calls. */
export class ServingController implements Controller {
	handle(update: Update, event: Event, context: Context): void {
		const {serving} = update.pending;
		const next = event.type === 'stop-requested' ? 'stopping' : nextState(update.pending, context);
		if (next === serving.state) {
			return;
		}

		update.set('serving', {state: next, since: context.now});
		update.emit({
			type: 'notify',
			notice: {type: 'serving-changed', from: serving.state, to: next},
		});
	}
}

/** Returns whether a node in this state accepts calls. */
export function acceptsCalls(state: ServingState): boolean {
	return state === 'serving' || state === 'detached';
}

function nextState(board: Blackboard, context: Context): ServingState {
	const {state} = board.serving;
	switch (state) {
		case 'starting': {
			return canStartServing(board, context) ? 'serving' : 'starting';
		}

		case 'resyncing': {
			if (isInSync(board)) {
				return 'serving';
			}

			// A pause, unlike a restart, keeps the version in force, so a disconnected node serves with it.
			return isDisconnected(board, context) ? 'detached' : 'resyncing';
		}

		case 'serving': {
			return isDisconnected(board, context) ? 'detached' : 'serving';
		}

		case 'detached': {
			return isInSync(board) && !isDisconnected(board, context) ? 'serving' : 'detached';
		}

		case 'stopping': {
			return 'stopping';
		}
	}
}

/**
 * Returns whether a node that has just started may serve. A node keeps no state across restarts, and
 * its previous incarnation may have had a version in force whose acceptance reached only a few
 * nodes, so it waits until no such version can exist.
 */
function canStartServing(board: Blackboard, {now, limits}: Context): boolean {
	if (!isInSync(board)) {
		return false;
	}

	if (hasFreshAcceptance(board, now, limits)) {
		return true;
	}

	const proposal = newestStaged(board.configuration)?.version;
	const hasSettled = now - board.serving.since >= limits.registrationTimeoutMs;
	return hasSettled && !isNewerVersion(proposal, board.configuration.held?.version);
}

/**
 * Returns whether this node has a version in force and the relay or platform that it is connected to
 * isn't known to have a newer one.
 */
function isInSync(board: Blackboard): boolean {
	const held = board.configuration.held?.version;
	const {uplink} = board.links;
	if (held === undefined) {
		return false;
	}

	switch (uplink.type) {
		case 'registered': {
			return !isNewerVersion(uplink.relayReport.held, held);
		}

		case 'relay': {
			const accepted = board.platform.acceptance?.spec.version;
			const isConnected = board.platform.isCurrent || !uplink.isNamed;
			return isConnected && !isNewerVersion(accepted, held);
		}

		default: {
			return false;
		}
	}
}

function isDisconnected(board: Blackboard, {now, limits}: Context): boolean {
	const {uplink} = board.links;
	switch (uplink.type) {
		case 'registered': {
			return false;
		}

		case 'relay': {
			const silenceMs = now - Math.max(board.platform.currentAt, uplink.since);
			return silenceMs > limits.dataCentreTimeoutMs;
		}

		default: {
			return now - board.serving.relayReceivedAt > limits.detachmentTimeoutMs;
		}
	}
}
