import {
	rolloutStates,
	type RolloutBounds,
	type RolloutDecision,
	type RolloutOrder,
	type WorkerEvidence,
} from '../rollout/rollout.js';

/** Decides on the stages of one order by the evidence that it gets. */
export type Decider = {
	onEvidence: (evidence: WorkerEvidence, now: number) => void;
	decide: (now: number) => RolloutDecision;
};

/** Where a decider continues: the time since the order began, and the share in force. */
export type DecisionStart = {
	readonly elapsedMs: number;
	readonly share: number;
	/** Monotonic milliseconds. */
	readonly now: number;
};

export type CreateDecider = (
	order: RolloutOrder,
	bounds: RolloutBounds,
	start: DecisionStart,
) => Decider;

/** Creates a decider that leaves the share as it is. */
export const createHoldingDecider: CreateDecider = (_order, _bounds, {share}) => ({
	onEvidence: () => undefined,
	decide: () => ({state: rolloutStates.running, share, reason: 'held'}),
});
