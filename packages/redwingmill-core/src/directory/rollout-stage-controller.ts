import {type Datagram} from '../model/datagram.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {localPeers} from './member-actions.js';
import {holdStage, sendStage} from './rollout-actions.js';
import {isFinal, isSameOrder, supersedesHeld, type HeldRollout} from './rollouts-section.js';
import {isSmallMesh, isWatcher} from './watchers.js';

/** Receives the stages of rollouts, passes them on and tells them to nodes that start. */
export class RolloutStageController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (event.type !== 'datagram') {
			return;
		}

		const {from, datagram} = event;
		if (datagram.type === 'rollout') {
			onStage(update, from, datagram, context);
		} else if (datagram.type === 'announcement' && datagram.wantsReply) {
			replyWithStages(update, from, context);
		}
	}
}

function onStage(
	update: DirectoryUpdate,
	from: string,
	{stage, isWithdrawn}: Extract<Datagram, {type: 'rollout'}>,
	{now, limits}: DirectoryContext,
): void {
	const {members, rollouts} = update.pending;
	const held = rollouts.held.get(stage.order.service);
	if (!supersedesHeld(stage, isWithdrawn, held)) {
		if (held && isBehind(stage, isWithdrawn, held)) {
			sendStage(update, held, [from]);
		}

		return;
	}

	const rollout = holdStage(update, stage, isWithdrawn, now);
	const isLocal = members.records.get(from)?.dataCentre === members.self.dataCentre;
	if (!isLocal && !isSmallMesh(members, limits) && isWatcher(members, limits)) {
		sendStage(update, rollout, localPeers(members));
	}
}

/** Whether the sender of a stage doesn't know yet that its order has ended, or was replaced. */
function isBehind(
	{order, state}: HeldRollout['stage'],
	isWithdrawn: boolean,
	{stage, isWithdrawn: isHeldWithdrawn}: HeldRollout,
): boolean {
	return (
		!isSameOrder(order, stage.order) ||
		(isHeldWithdrawn && !isWithdrawn) ||
		(!isFinal(state) && isFinal(stage.state))
	);
}

/** Tells a node that starts, or that was away, all stages. In a large mesh its watchers do. */
function replyWithStages(
	update: DirectoryUpdate,
	from: string,
	{now, limits}: DirectoryContext,
): void {
	const {members, rollouts} = update.pending;
	if (!isSmallMesh(members, limits) && !isWatcher(members, limits)) {
		return;
	}

	for (const held of rollouts.held.values()) {
		const {stage, heldAt} = held;
		const elapsedMs = stage.elapsedMs + now - heldAt;
		sendStage(update, {...held, stage: {...stage, elapsedMs}}, [from]);
	}
}
