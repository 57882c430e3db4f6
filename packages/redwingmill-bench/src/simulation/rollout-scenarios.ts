import {type Random} from 'redwingmill-shared';

/** What a version does with a run. */
export type RunBehaviour = {
	/** Share of its runs that fail, from 0 to 1. */
	readonly failureShare: number;
	/** Run time as a multiple of the old version's. */
	readonly slowness: number;
};

/** State of a rollout that the target version's behaviour depends on. */
export type RolloutMoment = {
	/** Part of the ordered time that has passed. */
	readonly elapsedPart: number;
	/** Share of the service's calls that the target gets at present, from 0 to 1. */
	readonly load: number;
	/** Index of the route; 0 is the busiest. */
	readonly route: number;
};

/** A service, an order and a target version. Times are in milliseconds. */
export type RolloutPlan = {
	readonly durationMs: number;
	readonly callsPerSecond: number;
	readonly oldWorkers: number;
	readonly newWorkers: number;
	/** Part of the calls by route. */
	readonly routes: readonly number[];
	/** Share of the old version's runs that fail. */
	readonly usualFailures: number;
	readonly isBad: boolean;
	readonly behaviour: (moment: RolloutMoment) => RunBehaviour;
	/** Part of the ordered time after which a new decider takes over, if it does. */
	readonly takeoverPart?: number;
	/** Parts of the ordered time in which no evidence of one of three data centres arrives. */
	readonly silence?: {readonly from: number; readonly to: number};
};

const routes = [0.5, 0.3, 0.2];

/** Draws a service: 50 to 500 calls a second, orders of 10 to 30 s. */
function service(random: Random, callsPerSecond = 50 * 10 ** random.fraction()) {
	const oldWorkers = 4 + random.below(13);
	return {
		durationMs: 10_000 + random.below(20_001),
		callsPerSecond,
		oldWorkers,
		newWorkers: Math.max(3, Math.round(oldWorkers * (0.6 + 0.6 * random.fraction()))),
		routes,
		usualFailures: 0.003 * random.fraction(),
	};
}

function good(random: Random, callsPerSecond?: number): RolloutPlan {
	const drawn = service(random, callsPerSecond);
	const slowness = 0.8 + 0.5 * random.fraction();
	const behaviour = {failureShare: drawn.usualFailures, slowness};
	return {...drawn, isBad: false, behaviour: () => behaviour};
}

function bad(
	random: Random,
	fault: Partial<RunBehaviour>,
	isFaulty: (moment: RolloutMoment) => boolean = () => true,
	callsPerSecond?: number,
): RolloutPlan {
	const drawn = service(random, callsPerSecond);
	const usual = {failureShare: drawn.usualFailures, slowness: 0.9 + 0.2 * random.fraction()};
	const faulty = {...usual, ...fault};
	return {
		...drawn,
		isBad: true,
		behaviour: (moment) => (isFaulty(moment) ? faulty : usual),
	};
}

function half(random: Random) {
	return random.below(2) === 0 ? {from: 0, to: 0.5} : {from: 0.5, to: 1};
}

function fewCalls(random: Random): number {
	return 10 + 30 * random.fraction();
}

function takeover(random: Random): number {
	return 0.1 + 0.8 * random.fraction();
}

/** Plays of a rollout by name; each draws its service and its faults. */
export const rolloutScenarios = {
	good,
	'fails 5 %': (random: Random) => bad(random, {failureShare: 0.05}),
	'fails 20 %': (random: Random) => bad(random, {failureShare: 0.2}),
	'fails 60 %': (random: Random) => bad(random, {failureShare: 0.6}),
	'2 times slower': (random: Random) => bad(random, {slowness: 2}),
	'5 times slower': (random: Random) => bad(random, {slowness: 5}),
	'fails after half': (random: Random) =>
		bad(random, {failureShare: 0.3}, ({elapsedPart}) => elapsedPart > 0.5),
	'slow after half': (random: Random) =>
		bad(random, {slowness: 4}, ({elapsedPart}) => elapsedPart > 0.5),
	/** Fails from a load between a tenth and nine tenths of the service's. */
	'fails under load'(random: Random) {
		const limit = 0.1 + 0.8 * random.fraction();
		return bad(random, {failureShare: 0.3}, ({load}) => load > limit);
	},
	'slow under load'(random: Random) {
		const limit = 0.1 + 0.8 * random.fraction();
		return bad(random, {slowness: 4}, ({load}) => load > limit);
	},
	'fails on one route'(random: Random) {
		const faulty = random.below(routes.length);
		return bad(random, {failureShare: 0.4}, ({route}) => route === faulty);
	},
	'slow on one route'(random: Random) {
		const faulty = random.below(routes.length);
		return bad(random, {slowness: 4}, ({route}) => route === faulty);
	},
	'good, few calls': (random: Random) => good(random, fewCalls(random)),
	'fails 20 %, few calls': (random: Random) =>
		bad(random, {failureShare: 0.2}, undefined, fewCalls(random)),
	'good, silent data centre': (random: Random) => ({...good(random), silence: half(random)}),
	'fails 20 %, silent data centre': (random: Random) => ({
		...bad(random, {failureShare: 0.2}),
		silence: half(random),
	}),
	'good, new decider': (random: Random) => ({...good(random), takeoverPart: takeover(random)}),
	'fails 20 %, new decider': (random: Random) => ({
		...bad(random, {failureShare: 0.2}),
		takeoverPart: takeover(random),
	}),
} as const satisfies Record<string, (random: Random) => RolloutPlan>;
export type RolloutScenario = keyof typeof rolloutScenarios;
