import {RolloutDecider, type DeciderStart} from '../rollout/rollout-decider.js';
import {
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

/** Creates the decider of an order, from its beginning or from the stage in force on. */
export type CreateDecider = (
	order: RolloutOrder,
	bounds: RolloutBounds,
	start: DeciderStart,
) => Decider;

/** Creates the decider by the statistics of {@link RolloutDecider}. */
export const createStatisticalDecider: CreateDecider = (order, bounds, start) =>
	new RolloutDecider(order, bounds, start);
