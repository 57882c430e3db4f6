import {
	EndpointChooser,
	expectedCompletionMs,
	localOrEarliest,
	meanRunMsOf,
	relativeRunTimeOf,
	type Candidate,
	type ChoiceInputs,
	type ChoiceStrategy,
	type EndpointStates,
	type GroupMeans,
	type StrategyFactory,
} from 'redwingmill-core';
import {type Random} from 'redwingmill-shared';
import {type EvenLoadPolicy} from './even-load-plan.js';

const bestCount = 3;
/** Calls per slot from which a replica has the least weight. */
const fullCallsPerSlot = 1.5;
const leastWeight = 0.05;

/** Parts of a strategy that chooses by the estimate of `expected-completion`. */
type Parts = {
	readonly dataCentre: string;
	readonly states: EndpointStates;
	readonly runTimes: GroupMeans;
	readonly random: Random;
};

/** Returns the estimates of `expected-completion`. */
function estimatesOf(
	{dataCentre, states, runTimes}: Parts,
	{usable, now, profile}: ChoiceInputs,
): readonly Candidate[] {
	const meanRunMs = meanRunMsOf(usable, states);
	return usable.map((endpoint) => {
		const state = states.of(endpoint);
		const {completion, inFlight} = state;
		state.relativeRunTime = relativeRunTimeOf(completion.load, meanRunMs);
		const runMs = runTimes.expected(profile.group) * state.relativeRunTime;
		const isLocal = endpoint.dataCentre === dataCentre;
		const {slots} = endpoint;
		const inputs = {slots, inFlight, isLocal, excessFailureShare: 0, runMs, now};
		const expectedMs = expectedCompletionMs(completion, inputs);
		return {endpoint, expectedMs, hasRoom: false};
	});
}

/** Chooses at random among the replicas with the best estimates. */
function bestFew(parts: Parts): ChoiceStrategy {
	const pick = (estimates: readonly Candidate[]) => {
		const best = estimates.toSorted((a, b) => a.expectedMs - b.expectedMs).slice(0, bestCount);
		return best.at(parts.random.below(best.length));
	};

	return {
		choose(inputs) {
			const estimates = estimatesOf(parts, inputs);
			const local = estimates.filter(({endpoint}) => endpoint.dataCentre === parts.dataCentre);
			return localOrEarliest(pick(estimates), pick(local), inputs);
		},
	};
}

/** Chooses at random by measured speed and reported load. */
function speedAndLoad(parts: Parts): ChoiceStrategy {
	const {states, random, dataCentre} = parts;
	const weightOf = ({endpoint}: Candidate) => {
		const {completion, relativeRunTime} = states.of(endpoint);
		const callsPerSlot =
			(completion.load?.callsPerSlot ?? 0) + completion.sentSinceReport / endpoint.slots;
		return (
			(endpoint.slots / relativeRunTime) * Math.max(leastWeight, fullCallsPerSlot - callsPerSlot)
		);
	};

	const pick = (estimates: readonly Candidate[]) => {
		const weights = estimates.map((estimate) => weightOf(estimate));
		let rest = random.fraction() * weights.reduce((sum, weight) => sum + weight, 0);
		const index = weights.findIndex((weight) => {
			rest -= weight;
			return rest < 0;
		});
		return estimates.at(index);
	};

	return {
		choose(inputs) {
			const estimates = estimatesOf(parts, inputs);
			const local = estimates.filter(({endpoint}) => endpoint.dataCentre === dataCentre);
			return localOrEarliest(pick(estimates), pick(local), inputs);
		},
	};
}

/**
 * Adds to each estimate the calls that other entries have sent since the report, as many as this one
 * for each of them: the number of entries follows from the answers that show calls it didn't send.
 */
function othersSends(parts: Parts): ChoiceStrategy {
	const {states, dataCentre, runTimes} = parts;
	const pick = (estimates: readonly Candidate[]) => {
		let best: Candidate | undefined;
		for (const estimate of estimates) {
			best = best === undefined || estimate.expectedMs < best.expectedMs ? estimate : best;
		}

		return best;
	};

	return {
		choose(inputs) {
			const {now, profile, usable} = inputs;
			let own = 0;
			let all = 0;
			for (const endpoint of usable) {
				const {inFlight, completion} = states.of(endpoint);
				own += inFlight;
				all += (completion.load?.callsPerSlot ?? 0) * endpoint.slots;
			}

			const entries = Math.max(1, all / Math.max(1, own));
			const runMs = runTimes.expected(profile.group);
			const estimates = estimatesOf(parts, inputs).map((estimate) => {
				const {completion, relativeRunTime} = states.of(estimate.endpoint);
				const {slots} = estimate.endpoint;
				const ageRuns = (now - completion.loadAt) / (runMs * relativeRunTime);
				const callsPerSlot = completion.load?.callsPerSlot ?? 0;
				// The more attractive a replica was at the report, the more the others have sent there since.
				const sent = Math.max(0, 1 - callsPerSlot) * Math.min(1, ageRuns);
				const others = (completion.sentSinceReport * (entries - 1)) / slots + sent;
				return {...estimate, expectedMs: estimate.expectedMs + others * runMs * relativeRunTime};
			});
			const local = estimates.filter(({endpoint}) => endpoint.dataCentre === dataCentre);
			return localOrEarliest(pick(estimates), pick(local), inputs);
		},
	};
}

function byStrategy(
	name: string,
	newStrategy: (parts: Parts) => ChoiceStrategy,
	refusesFrom?: number,
): EvenLoadPolicy {
	const factory: StrategyFactory = ({dataCentre}, states, runTimes, random) =>
		newStrategy({dataCentre, states, runTimes, random});
	return {
		name,
		newChooser(dataCentre, random) {
			const options = {
				policy: 'expected-completion',
				slowStartMs: 0,
				dataCentre,
				followsHostTimes: false,
			} as const;
			return new EndpointChooser(options, random, factory);
		},
		refusesFrom,
	};
}

function byName(
	name: string,
	policy: 'expected-completion' | 'even-load' | 'two-choices' | 'random',
	refusesFrom?: number,
): EvenLoadPolicy {
	return {
		name,
		newChooser(dataCentre, random) {
			const options = {policy, slowStartMs: 0, dataCentre, followsHostTimes: false};
			return new EndpointChooser(options, random);
		},
		refusesFrom,
	};
}

/** Policy in use where nothing else is set and hosts don't report how long work takes. */
export const presentPolicy = byName('estimate', 'expected-completion');
export const evenLoadPolicy = byName('even load', 'even-load');

/** The policies that are compared. */
export const evenLoadPolicies: readonly EvenLoadPolicy[] = [
	presentPolicy,
	byName('two choices', 'two-choices'),
	byName('random', 'random'),
	byStrategy('best few', bestFew),
	byStrategy('speed and load', speedAndLoad),
	byStrategy("others' sends", othersSends),
	evenLoadPolicy,
	byName('estimate, refusal', 'expected-completion', 0.01),
	byName('even load, refusal', 'even-load', 0.01),
	byName('even load, late refusal', 'even-load', 0.4),
];
