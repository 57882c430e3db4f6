import {type EvenLoadOutcome, type EvenLoadPlan, type EvenLoadPolicy} from './even-load-plan.js';
import {EvenLoadSimulation} from './even-load-simulation.js';

/** Simulates a load under a policy with each seed, and returns the means. */
export function meanOutcome(
	plan: EvenLoadPlan,
	policy: EvenLoadPolicy,
	seeds: readonly number[],
): EvenLoadOutcome {
	const outcomes = seeds.map((seed) => new EvenLoadSimulation({...plan, seed}, policy).run());
	const mean = (valueOf: (outcome: EvenLoadOutcome) => number) =>
		outcomes.reduce((sum, outcome) => sum + valueOf(outcome), 0) / outcomes.length;
	return {
		calls: mean(({calls}) => calls),
		late: mean(({late}) => late),
		refused: mean(({refused}) => refused),
		p50Ms: mean(({p50Ms}) => p50Ms),
		p99Ms: mean(({p99Ms}) => p99Ms),
		busiestOverMean: mean(({busiestOverMean}) => busiestOverMean),
		queuesBesideFree: mean(({queuesBesideFree}) => queuesBesideFree),
		remoteBytes: mean(({remoteBytes}) => remoteBytes),
		attempts: mean(({attempts}) => attempts),
		attemptsPerTry: mean(({attemptsPerTry}) => attemptsPerTry),
	};
}
