import {
	rolloutStates,
	type RolloutBounds,
	type RolloutOrder,
	type RolloutStage,
	type RolloutState,
	type WorkerEvidence,
} from '../rollout/rollout.js';
import {type RegistryRequest} from './directory-state.js';

/** Status of an order as the store has it. */
export type StoredStatus = {
	readonly state: RolloutState;
	/** Milliseconds since the order began, at the time of the read or the write. */
	readonly elapsedMs: number;
	readonly share: number;
	readonly reason: string;
	/** Control address of the node that wrote it. */
	readonly decider: string;
};

/** An order as the store has it. */
export type StoredRollout = {
	readonly order: RolloutOrder;
	/** Revision of the object, on which a write of the status depends. */
	readonly revision: number;
	/** Absent when no node has written one for this order. */
	readonly status?: StoredStatus;
};

/** Stage of a service's newest order that this node knows. Times are in monotonic milliseconds. */
export type HeldRollout = {
	readonly stage: RolloutStage;
	/** When the stage was received or decided; `stage.elapsedMs` is that of this time. */
	readonly heldAt: number;
	/** When the state last changed. */
	readonly changedAt: number;
	/** When this node last announced the stage. */
	readonly announcedAt: number;
	/** Whether the operators have removed the order. */
	readonly isWithdrawn: boolean;
};

/** Evidence that this node last sent to a decider. */
export type SentEvidence = {
	readonly to: string;
	readonly evidence: WorkerEvidence;
	/** When it was last sent whole, in monotonic milliseconds. */
	readonly wholeSentAt: number;
};

/** Runs of all workers of one version since an order, as its decider knows them. */
export type VersionTotals = {
	readonly version: string;
	readonly workers: number;
	readonly runs: number;
	readonly failures: number;
	/** Geometric mean of the run times of successful runs in milliseconds; 0 without any. */
	readonly meanMs: number;
};

/** Rollouts that this node knows of, by service. */
export type RolloutsSection = {
	/** Absent where operators order no rollouts; the section is then not used. */
	readonly bounds?: RolloutBounds;
	readonly held: ReadonlyMap<string, HeldRollout>;
	/** Orders as last read from the store by this node. */
	readonly stored: ReadonlyMap<string, StoredRollout>;
	/** Schedule of writing the status. */
	readonly writing: ReadonlyMap<string, RegistryRequest>;
	/** Revisions of the objects whose orders were refused, each of which is reported once. */
	readonly refused: ReadonlyMap<string, number>;
	readonly sent?: SentEvidence;
	/** Evidence by version; only on the node that decides. */
	readonly totals: ReadonlyMap<string, readonly VersionTotals[]>;
};

export const emptyRollouts: RolloutsSection = {
	held: new Map(),
	stored: new Map(),
	writing: new Map(),
	refused: new Map(),
	totals: new Map(),
};

export function isFinal(state: RolloutState): boolean {
	return state !== rolloutStates.running;
}

/**
 * Whether both are the same order. The era doesn't count: a store that returns from an older copy still
 * has the order of the operators.
 */
export function isSameOrder(a: RolloutOrder, b: RolloutOrder): boolean {
	return (
		a.service === b.service && a.targetVersion === b.targetVersion && a.revision === b.revision
	);
}

/** Whether `a` was ordered after `b`, another order of the same service. */
export function isLaterOrder(
	a: Pick<RolloutOrder, 'era' | 'revision'>,
	b: Pick<RolloutOrder, 'era' | 'revision'>,
): boolean {
	return a.era === b.era ? a.revision > b.revision : a.era > b.era;
}

/**
 * Whether a stage received from another node replaces the one held. Final states of an order are never
 * replaced by another state of it.
 */
export function supersedesHeld(
	{order, state, sequence}: RolloutStage,
	isWithdrawn: boolean,
	held: HeldRollout | undefined,
): boolean {
	if (held === undefined) {
		return true;
	}

	const {stage} = held;
	if (!isSameOrder(order, stage.order)) {
		return isLaterOrder(order, stage.order);
	}

	if (held.isWithdrawn !== isWithdrawn) {
		// An order that was removed exists again only in a store that returned from an older copy.
		return isWithdrawn ? order.era >= stage.order.era : order.era > stage.order.era;
	}

	return state === stage.state ? sequence > stage.sequence : !isFinal(stage.state);
}

/** Returns the milliseconds since the order of a held stage began. */
export function elapsedMsOf({stage, heldAt}: HeldRollout, now: number): number {
	return stage.elapsedMs + now - heldAt;
}

/**
 * Returns the stage by which calls to a service are routed; undefined if none is in force. A version
 * that was rolled back gets no calls after its order was removed either.
 */
export function routingStageOf({held}: RolloutsSection, service: string): RolloutStage | undefined {
	const rollout = held.get(service);
	const isInForce =
		rollout !== undefined &&
		(!rollout.isWithdrawn || rollout.stage.state === rolloutStates.rolledBack);
	return isInForce ? rollout.stage : undefined;
}

/** A rollout as operators see it on a node. */
export type RolloutView = {
	readonly service: string;
	readonly targetVersion: string;
	readonly state: RolloutState;
	readonly isWithdrawn: boolean;
	readonly share: number;
	readonly elapsedMs: number;
	readonly durationMs: number;
	/** Time since the state last changed. */
	readonly changedMsAgo: number;
	readonly decider: string;
	readonly reason: string;
	/** Empty on nodes other than the decider. */
	readonly evidence: readonly VersionTotals[];
};

/** Returns the rollouts that a node knows of, for operators. */
export function rolloutViews({held, totals}: RolloutsSection, now: number): RolloutView[] {
	return [...held].map(([service, rollout]) => {
		const {stage, isWithdrawn, changedAt} = rollout;
		const {order, state, share, decider, reason} = stage;
		return {
			service,
			targetVersion: order.targetVersion,
			state,
			isWithdrawn,
			share,
			elapsedMs: Math.round(elapsedMsOf(rollout, now)),
			durationMs: order.durationMs,
			changedMsAgo: Math.round(now - changedAt),
			decider,
			reason,
			evidence: totals.get(service) ?? [],
		};
	});
}
