import {type Datagram} from '../model/datagram.js';
import {type RolloutStage} from '../rollout/rollout.js';
import {type DirectoryContext, type DirectoryUpdate} from './directory-controller.js';
import {localPeers, remoteWatchers} from './member-actions.js';
import {isSameOrder, type HeldRollout} from './rollouts-section.js';
import {isSmallMesh} from './watchers.js';

/** Replaces the stage held for a service, and reports a change of what is in force. */
export function holdStage(
	update: DirectoryUpdate,
	stage: RolloutStage,
	isWithdrawn: boolean,
	now: number,
): HeldRollout {
	const {service} = stage.order;
	const previous = update.pending.rollouts.held.get(service);
	const isSame = previous !== undefined && isSameOrder(previous.stage.order, stage.order);
	const hasSameState =
		isSame && previous.stage.state === stage.state && previous.isWithdrawn === isWithdrawn;
	const isUnchanged = hasSameState && previous.stage.share === stage.share;
	const rollout: HeldRollout = {
		stage,
		heldAt: now,
		changedAt: hasSameState ? previous.changedAt : now,
		announcedAt: isUnchanged ? previous.announcedAt : Number.NEGATIVE_INFINITY,
		isWithdrawn,
	};
	setHeld(update, rollout);
	if (!isUnchanged) {
		const {order, ...fields} = stage;
		const {targetVersion, era, revision} = order;
		const {state, share, elapsedMs, decider, reason} = fields;
		update.emit({
			type: 'notify',
			notice: {
				type: 'rollout-stage',
				service,
				targetVersion,
				era,
				revision,
				state,
				share,
				elapsedMs: Math.round(elapsedMs),
				decider,
				reason,
				isWithdrawn,
			},
		});
	}

	return rollout;
}

function setHeld(update: DirectoryUpdate, rollout: HeldRollout): void {
	const {held} = update.pending.rollouts;
	update.set('rollouts', {held: new Map(held).set(rollout.stage.order.service, rollout)});
}

/** Announces a stage to all nodes; in a large mesh the watchers of other data centres pass it on. */
export function announceStage(
	update: DirectoryUpdate,
	rollout: HeldRollout,
	{now, limits}: Pick<DirectoryContext, 'now' | 'limits'>,
): void {
	const {members} = update.pending;
	const receivers = isSmallMesh(members, limits)
		? [...members.peers.keys()]
		: [...localPeers(members), ...remoteWatchers(members, limits)];
	sendStage(update, rollout, receivers);
	setHeld(update, {...rollout, announcedAt: now});
}

/** Sends a stage to these nodes. */
export function sendStage(
	update: DirectoryUpdate,
	{stage, isWithdrawn}: HeldRollout,
	receivers: Iterable<string>,
): void {
	const datagram: Datagram = {type: 'rollout', stage, isWithdrawn};
	for (const to of receivers) {
		update.emit({type: 'send', to, datagram});
	}
}
