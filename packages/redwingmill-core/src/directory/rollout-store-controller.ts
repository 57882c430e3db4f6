import {rolloutStates, type RolloutStage} from '../rollout/rollout.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {holdStage} from './rollout-actions.js';
import {
	isFinal,
	isLaterOrder,
	isSameOrder,
	type HeldRollout,
	type StoredRollout,
} from './rollouts-section.js';
import {failed, scheduledAt} from './store-request.js';

type Listing = Extract<DirectoryEvent, {type: 'rollouts-listed'}>;
type WrittenStatus = Extract<DirectoryEvent, {type: 'rollout-status-written'}>;

/** Applies the orders and statuses that the store has, and the results of status writes. */
export class RolloutStoreController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (event.type === 'rollouts-listed') {
			onListed(update, event, context.now);
		} else if (event.type === 'rollout-status-written') {
			onWritten(update, event, context);
		}
	}
}

function onListed(update: DirectoryUpdate, listing: Listing, now: number): void {
	const accepted = listing.rollouts.filter((stored) => !refuse(update, stored));
	const stored = new Map(accepted.map((each) => [each.order.service, each]));
	update.set('rollouts', {stored});
	for (const rollout of accepted) {
		applyStored(update, rollout, listing, now);
	}

	for (const [service, held] of update.pending.rollouts.held) {
		const {stage, isWithdrawn} = held;
		// A list of an earlier time doesn't have a later order.
		if (!stored.has(service) && !isWithdrawn && !isLaterOrder(stage.order, listing)) {
			const {era} = listing;
			const order = {...stage.order, era};
			holdStage(update, {...advanced(held, now), order, reason: 'order removed'}, true, now);
		}
	}
}

/** Refuses an order for an unknown service and reports it once. Returns whether it did. */
function refuse(update: DirectoryUpdate, {order, revision}: StoredRollout): boolean {
	const {adoption, rollouts} = update.pending;
	const {service} = order;
	const services = adoption.held?.configuration.services;
	if (services === undefined || services.some(({name}) => name === service)) {
		return false;
	}

	if (rollouts.refused.get(service) !== revision) {
		update.set('rollouts', {refused: new Map(rollouts.refused).set(service, revision)});
		const fault = 'unknown service';
		update.emit({type: 'notify', notice: {type: 'rollout-refused', service, fault}});
	}

	return true;
}

function applyStored(
	update: DirectoryUpdate,
	stored: StoredRollout,
	listing: Listing,
	now: number,
): void {
	const {order, status} = stored;
	const held = update.pending.rollouts.held.get(order.service);
	if (held === undefined || !isSameOrder(order, held.stage.order)) {
		// The stage held may be of an order that is later than this list.
		if (held === undefined || !isLaterOrder(held.stage.order, listing)) {
			holdStage(update, stageOf(stored), false, now);
		}

		return;
	}

	const {stage, isWithdrawn} = held;
	if (isWithdrawn) {
		if (order.era > stage.order.era) {
			const restored = isFinal(stage.state) ? {...stage, order} : stageOf(stored);
			holdStage(update, {...restored, sequence: stage.sequence}, false, now);
		}
	} else if (status && isFinal(status.state) && !isFinal(stage.state)) {
		const {sequence} = stage;
		holdStage(update, {...stageOf(stored), sequence: sequence + 1}, false, now);
	} else if (status && isFinal(status.state) && status.state !== stage.state) {
		update.emit({
			type: 'notify',
			notice: {
				type: 'rollout-verdicts-differ',
				service: order.service,
				held: stage.state,
				stored: status.state,
			},
		});
	} else if (order.durationMs !== stage.order.durationMs || order.era !== stage.order.era) {
		// Nobody decides on an order whose duration has become invalid.
		const share = order.durationMs > 0 || isFinal(stage.state) ? stage.share : 0;
		holdStage(update, {...advanced(held, now), order, share}, false, now);
	}
}

/** Returns a held stage with the time that has elapsed until now. */
function advanced({stage, heldAt}: HeldRollout, now: number): RolloutStage {
	return {...stage, elapsedMs: stage.elapsedMs + now - heldAt};
}

/** Returns the stage at which an order read from the store continues. */
function stageOf({order, status}: StoredRollout): RolloutStage {
	if (status === undefined || !isFinal(status.state)) {
		const elapsedMs = status?.elapsedMs ?? 0;
		const reason = status === undefined ? 'ordered' : 'read from the store';
		const state = rolloutStates.running;
		return {order, state, share: 0, elapsedMs, decider: '', sequence: 0, reason};
	}

	const {state, elapsedMs, reason, decider} = status;
	const share = state === rolloutStates.completed ? 1 : 0;
	return {order, state, share, elapsedMs, decider, sequence: 0, reason};
}

function onWritten(
	update: DirectoryUpdate,
	{rollout, status, result}: WrittenStatus,
	context: DirectoryContext,
): void {
	const {service} = rollout.order;
	const {writing, stored} = update.pending.rollouts;
	const request = writing.get(service) ?? scheduledAt(context.now);
	const notice = {type: 'rollout-status-written', service, state: status.state} as const;
	update.emit({type: 'notify', notice: {...notice, result: result.type}});
	if (result.type !== 'written') {
		// What the store has now decides whether there is still something to write.
		const retry = failed(request, context);
		update.set('rollouts', {writing: new Map(writing).set(service, retry)});
		update.emit({type: 'list-rollouts'});
		return;
	}

	update.set('rollouts', {writing: new Map(writing).set(service, scheduledAt(context.now))});
	const known = stored.get(service);
	if (known && isSameOrder(known.order, rollout.order)) {
		const {revision} = result;
		const written = new Map(stored).set(service, {...known, revision, status});
		update.set('rollouts', {stored: written});
	}

	const held = update.pending.rollouts.held.get(service);
	if (held && isSameOrder(held.stage.order, rollout.order)) {
		applyWritten(update, held, status.state, context.now);
	}
}

/** Completes a rollout once the store has it so: until then evidence may still end it otherwise. */
function applyWritten(
	update: DirectoryUpdate,
	held: HeldRollout,
	state: RolloutStage['state'],
	now: number,
): void {
	if (state === rolloutStates.completed && !isFinal(held.stage.state)) {
		const sequence = held.stage.sequence + 1;
		holdStage(update, {...advanced(held, now), state, share: 1, sequence}, held.isWithdrawn, now);
	}
}
