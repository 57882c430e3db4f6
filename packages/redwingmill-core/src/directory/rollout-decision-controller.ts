import {rolloutStates, type WorkerEvidence} from '../rollout/rollout.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {announceStage, holdStage} from './rollout-actions.js';
import {type CreateDecider, type Decider} from './rollout-decisions.js';
import {EvidenceParts} from './rollout-evidence-parts.js';
import {isDecider, mayRaiseShare} from './rollout-role.js';
import {
	elapsedMsOf,
	isFinal,
	isSameOrder,
	type HeldRollout,
	type StoredStatus,
} from './rollouts-section.js';
import {isDue, scheduledAt} from './store-request.js';

/** Decisions of this node on an order, from the time on at which it became the decider. */
type Deciding = {
	readonly order: HeldRollout['stage']['order'];
	readonly decider: Decider;
	readonly evidence: EvidenceParts;
	/** Why the stage is in force, with the newest figures. */
	reason: string;
	/** Why the order is to be completed once the store has it so; absent while it isn't. */
	completion?: string;
};

/** Decides on the rollouts of the mesh while this node has that role, announces and stores the result. */
export class RolloutDecisionController implements DirectoryController {
	readonly #createDecider: CreateDecider;
	readonly #deciding = new Map<string, Deciding>();

	constructor(createDecider: CreateDecider) {
		this.#createDecider = createDecider;
	}

	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (isOccasion(event)) {
			for (const held of update.pending.rollouts.held.values()) {
				this.#run(update, held, context);
			}
		} else if (event.type === 'evidence-counted') {
			const held = update.pending.rollouts.held.get(event.evidence.service);
			if (held) {
				this.#onEvidence(held, event.evidence, context.now);
			}
		} else if (event.type === 'datagram' && event.datagram.type === 'rollout-evidence') {
			const {evidence, targetVersion, revision} = event.datagram;
			const held = update.pending.rollouts.held.get(evidence.service);
			const order = held?.stage.order;
			if (held && order?.targetVersion === targetVersion && order.revision === revision) {
				this.#onEvidence(held, evidence, context.now);
			}
		}
	}

	#onEvidence({stage}: HeldRollout, evidence: WorkerEvidence, now: number): void {
		const deciding = this.#deciding.get(evidence.service);
		if (deciding && isSameOrder(deciding.order, stage.order)) {
			deciding.decider.onEvidence(deciding.evidence.merge(evidence), now);
		}
	}

	#run(update: DirectoryUpdate, held: HeldRollout, context: DirectoryContext): void {
		const {service} = held.stage.order;
		if (isSettled(update, held, context) || !isDecider(update.pending, held, context)) {
			if (this.#deciding.delete(service) && !isFinal(held.stage.state)) {
				const totals = new Map(update.pending.rollouts.totals);
				totals.delete(service);
				update.set('rollouts', {totals});
			}

			return;
		}

		if (!held.isWithdrawn && !isFinal(held.stage.state) && isValid(held)) {
			this.#decide(update, held, context);
		}

		const decided = update.pending.rollouts.held.get(service) ?? held;
		this.#writeStatus(update, decided, context);
		this.#announce(update, decided, context);
	}

	#decide(update: DirectoryUpdate, held: HeldRollout, {now}: DirectoryContext): void {
		const {stage} = held;
		const {address} = update.pending.members.self;
		const deciding = this.#decidingOf(update, held, now);
		const {state, share, reason} = deciding.decider.decide(now);
		const mayRaise = mayRaiseShare(update.pending);
		const changed = {...stage, elapsedMs: elapsedMsOf(held, now), decider: address, reason};
		const sequence = stage.sequence + 1;
		deciding.completion = undefined;
		deciding.reason = reason;
		switch (state) {
			case rolloutStates.rolledBack: {
				holdStage(update, {...changed, state, share: 0, sequence}, false, now);
				break;
			}

			case rolloutStates.completed: {
				deciding.completion = mayRaise ? reason : undefined;
				break;
			}

			case rolloutStates.running: {
				const allowed = mayRaise ? share : Math.min(share, stage.share);
				if (allowed !== stage.share || stage.decider !== address) {
					holdStage(update, {...changed, share: allowed, sequence}, false, now);
				}

				break;
			}
		}
	}

	#decidingOf(update: DirectoryUpdate, held: HeldRollout, now: number): Deciding {
		const {order, share} = held.stage;
		const known = this.#deciding.get(order.service);
		if (known && isSameOrder(known.order, order)) {
			return known;
		}

		const {bounds} = update.pending.rollouts;
		const start = {elapsedMs: elapsedMsOf(held, now), share, now};
		const decider = this.#createDecider(
			order,
			bounds ?? {exposureShare: 0, exposureSlack: 0, rollbackMs: 0},
			start,
		);
		const deciding: Deciding = {order, decider, evidence: new EvidenceParts(), reason: ''};
		this.#deciding.set(order.service, deciding);
		return deciding;
	}

	/** Writes the status if the store has another one, but never over a final one. */
	#writeStatus(update: DirectoryUpdate, held: HeldRollout, {now}: DirectoryContext): void {
		const {rollouts, members} = update.pending;
		const {order} = held.stage;
		const stored = rollouts.stored.get(order.service);
		const request = rollouts.writing.get(order.service) ?? scheduledAt(now);
		if (
			held.isWithdrawn ||
			!isValid(held) ||
			stored === undefined ||
			!isSameOrder(stored.order, order) ||
			!isDue(request, now)
		) {
			return;
		}

		const completion = this.#deciding.get(order.service)?.completion;
		const {state, share, reason} = held.stage;
		const status: StoredStatus = {
			state: completion === undefined ? state : rolloutStates.completed,
			elapsedMs: elapsedMsOf(held, now),
			share,
			reason: completion ?? reason,
			decider: members.self.address,
		};
		const known = stored.status?.state;
		if (known === status.state || (known !== undefined && isFinal(known))) {
			return;
		}

		const writing = new Map(rollouts.writing).set(order.service, {...request, isInProgress: true});
		update.set('rollouts', {writing});
		update.emit({type: 'write-rollout-status', rollout: stored, status});
	}

	#announce(update: DirectoryUpdate, held: HeldRollout, context: DirectoryContext): void {
		const {now, limits} = context;
		if (now - held.announcedAt < limits.rolloutAnnouncementIntervalMs) {
			return;
		}

		const {stage, isWithdrawn} = held;
		const {service} = stage.order;
		const {rollouts, members} = update.pending;
		const {address} = members.self;
		const deciding = this.#deciding.get(service);
		if (deciding) {
			const totals = deciding.evidence.totals();
			update.set('rollouts', {totals: new Map(rollouts.totals).set(service, totals)});
		}

		const repeated = {
			...stage,
			elapsedMs: elapsedMsOf(held, now),
			decider: address,
			sequence: stage.sequence + 1,
			reason:
				isFinal(stage.state) || isWithdrawn ? stage.reason : (deciding?.reason ?? stage.reason),
		};
		announceStage(update, holdStage(update, repeated, isWithdrawn, now), context);
	}
}

/** Whether an order has ended, all nodes have had time to learn of it, and the store has its status. */
function isSettled(
	update: DirectoryUpdate,
	{stage, isWithdrawn, changedAt}: HeldRollout,
	{now, limits}: DirectoryContext,
): boolean {
	const stored = update.pending.rollouts.stored.get(stage.order.service);
	const hasEnded = isWithdrawn || isFinal(stage.state);
	const needsWrite =
		!isWithdrawn &&
		stored !== undefined &&
		isSameOrder(stored.order, stage.order) &&
		!(stored.status && isFinal(stored.status.state));
	return hasEnded && !needsWrite && now - changedAt > limits.rolloutFinalAnnouncementMs;
}

/** Whether an order can be carried out. The version of another one keeps its share of 0. */
function isValid({stage}: HeldRollout): boolean {
	return stage.order.durationMs > 0;
}

/** Whether an event may change what is decided; a tick comes ten times a second. */
function isOccasion({type}: DirectoryEvent): boolean {
	return type === 'tick' || type === 'rollouts-listed' || type === 'rollout-status-written';
}
