import {type ChoicePolicy} from 'redwingmill-core';
import {LoadSimulation, type LoadPlan, type LoadResult} from './load-simulation.js';

/** A combination of endpoint choice and admission limits. */
export type Policy = {
	readonly name: string;
	readonly choice: ChoicePolicy;
	/** Whether gates limit concurrency and queue calls. */
	readonly isLimiting: boolean;
};

/** Results of a class of calls under a policy, over all seeds. */
export type PolicyResult = {
	readonly policy: string;
	readonly group: string;
	/** Share of calls answered within their target; adds up to 1 with the other two shares. */
	readonly inTarget: number;
	readonly late: number;
	readonly unserved: number;
};

/** The expected-completion policy with gate limits, and its baselines. */
export const comparedPolicies: readonly Policy[] = [
	{name: 'in use', choice: 'expected-completion', isLimiting: true},
	{name: 'two choices', choice: 'two-choices', isLimiting: true},
	{name: 'least loaded', choice: 'least-loaded', isLimiting: true},
	{name: 'random', choice: 'random', isLimiting: true},
	{name: 'no limits', choice: 'expected-completion', isLimiting: false},
];

/** Simulates a load under several policies with the same seeds. */
export function comparePolicies(
	plan: LoadPlan,
	policies: readonly Policy[],
	seeds: readonly number[],
): readonly PolicyResult[] {
	return policies.flatMap(({name, choice, isLimiting}) => {
		const totals = new Map<string, LoadResult>();
		for (const seed of seeds) {
			const {classes} = new LoadSimulation({...plan, policy: choice, isLimiting, seed}).run();
			for (const [group, result] of classes) {
				totals.set(group, sumOf(totals.get(group), result));
			}
		}

		return [...totals].map(([group, total]) => toShares(name, group, total));
	});
}

function sumOf(total: LoadResult | undefined, result: LoadResult): LoadResult {
	return total === undefined
		? {...result}
		: {
				asked: total.asked + result.asked,
				inTarget: total.inTarget + result.inTarget,
				late: total.late + result.late,
				unserved: total.unserved + result.unserved,
			};
}

/** Excludes calls that hadn't ended by the end of the simulation. */
function toShares(policy: string, group: string, total: LoadResult): PolicyResult {
	const {inTarget, late, unserved} = total;
	const ended = Math.max(1, inTarget + late + unserved);
	return {
		policy,
		group,
		inTarget: inTarget / ended,
		late: late / ended,
		unserved: unserved / ended,
	};
}
