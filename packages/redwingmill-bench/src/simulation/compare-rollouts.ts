import {rolloutStates} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {rolloutScenarios, type RolloutPlan, type RolloutScenario} from './rollout-scenarios.js';
import {RolloutSimulation, standardBounds, type RolloutOutcome} from './rollout-simulation.js';

/** Results of the rollouts of a scenario. Shares are from 0 to 1. */
export type RolloutResult = {
	readonly scenario: RolloutScenario;
	readonly isBad: boolean;
	readonly rollouts: number;
	/** Share that was completed; false if the version is bad. */
	readonly completed: number;
	/** Share that was rolled back; false if the version is good. */
	readonly rolledBack: number;
	/** Share of the good ones that was completed by the deadline; undefined for bad versions. */
	readonly inTime: number | undefined;
	/** Times to a rollback as shares of the ordered time, ascending. */
	readonly rollbackTimes: readonly number[];
	/** Share of the bad ones that got more calls than the exposure bound. */
	readonly overExposed: number;
	/** Share of the bad ones that got a call too late after the 50th bad response. */
	readonly late: number;
};

/** Simulates `rollouts` rollouts of a scenario; equal seeds give equal results. */
export function simulateRollouts(
	scenario: RolloutScenario,
	rollouts: number,
	seed: number,
): RolloutResult {
	const random = new Random(seed);
	const plays = Array.from({length: rollouts}, (_, index) => {
		const plan: RolloutPlan = rolloutScenarios[scenario](random);
		return {plan, outcome: new RolloutSimulation(plan, seed * 1_000_003 + index).run()};
	});
	const isBad = plays.some(({plan}) => plan.isBad);
	const share = (isCounted: (outcome: RolloutOutcome, plan: RolloutPlan) => boolean) =>
		plays.filter(({outcome, plan}) => isCounted(outcome, plan)).length / Math.max(1, rollouts);
	const times = plays
		.filter(({outcome}) => outcome.state === rolloutStates.rolledBack)
		.map(({plan, outcome}) => (outcome.endedAt ?? 0) / plan.durationMs)
		.toSorted((a, b) => a - b);
	return {
		scenario,
		isBad,
		rollouts,
		completed: share(({state}) => state === rolloutStates.completed),
		rolledBack: share(({state}) => state === rolloutStates.rolledBack),
		inTime: isBad
			? undefined
			: share(
					({state, endedAt = 0}, {durationMs}) =>
						state === rolloutStates.completed && endedAt < durationMs,
				),
		rollbackTimes: times,
		overExposed: share((outcome, plan) => plan.isBad && isOverExposed(outcome)),
		late: share(({lateCalls}, plan) => plan.isBad && lateCalls > 0),
	};
}

function isOverExposed({exposed, calls}: RolloutOutcome): boolean {
	const {exposureShare, exposureSlack} = standardBounds;
	return exposed > exposureShare * calls + exposureSlack;
}

/** Returns the median of ascending values; undefined if there are none. */
export function medianOf(ascending: readonly number[]): number | undefined {
	return ascending.at(Math.floor(ascending.length / 2));
}
