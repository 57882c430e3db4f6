import {Random} from 'redwingmill-shared';
import {
	endlessAnswers,
	linkPurposes,
	processFaults,
	workerFaults,
	type LinkBehaviour,
	type LinkPurpose,
	type PlannedFault,
	type SoakFault,
} from './soak-fault.js';

/** Number of hosts and duration that a plan covers. */
export type PlanScope = {
	readonly hosts: number;
	/** All faults begin and end within this time. */
	readonly durationMs: number;
};

const minimumSeriesLength = 2;
const seriesLengthSpread = 4;
/** Mean time between the starts of series, short enough for two or three series to overlap. */
const meanSeriesIntervalMs = 1500;
const minimumFaultMs = 100;
const faultDurationSpreadMs = 2500;
/** Up to this delay calls still succeed before their deadline; beyond it attempts time out. */
const maximumDelayMs = 400;
const startGapSpreadMs = 1200;
const maximumStoreReturns = 2;
const storeAwaySpreadMs = 600;
/** The other faults of a seed stay as they are, so that seeds that once failed can be run again. */
const storeReturnSeedOffset = 1_000_003;
const maximumSilences = 2;
const silenceSeedOffset = 2_000_003;
const maximumEndless = 2;
const endlessSeedOffset = 4_000_037;
const maximumNotices = 3;
const noticeSeedOffset = 3_000_017;
const minimumNoticeMs = 5000;
const noticeDurationSpreadMs = 4000;
/** Calls a second, below what a worker of a soak usually gets. */
const limitsPerSecond = [0.5, 1, 3, 8] as const;
/** Kinds of faults, one per series; a kind's probability is its share of the entries. */
const weightedSeriesKinds = [
	'link',
	'link',
	'link',
	'link',
	'process',
	'process',
	'worker',
	'worker',
	'change',
	'power-loss',
] as const;

/**
 * Draws overlapping series of faults from a seed. The same seed and scope give the same plan,
 * ordered by start time.
 */
export function planFaults(seed: number, scope: PlanScope): readonly PlannedFault[] {
	const random = new Random(seed);
	const count = Math.max(1, Math.floor(scope.durationMs / meanSeriesIntervalMs));
	const faults: PlannedFault[] = [];
	for (let series = 0; series < count; series++) {
		faults.push(...planSeries(random, scope));
	}

	faults.push(
		...planStoreReturns(new Random(seed + storeReturnSeedOffset), scope),
		...planSilences(new Random(seed + silenceSeedOffset), scope),
		...planNotices(new Random(seed + noticeSeedOffset), scope),
		...planEndless(new Random(seed + endlessSeedOffset), scope),
	);
	return faults.toSorted((a, b) => a.atMs - b.atMs);
}

/** Draws what workers say of themselves in their responses, from a generator of its own. */
function planNotices(random: Random, {hosts, durationMs}: PlanScope): readonly PlannedFault[] {
	const count = random.below(maximumNotices + 1);
	return Array.from({length: count}, () => {
		const forMs = Math.min(durationMs, minimumNoticeMs + random.below(noticeDurationSpreadMs));
		const limit = {type: 'limit', perSecond: pick(random, limitsPerSecond)} as const;
		const notice = random.fraction() < 0.6 ? limit : ({type: 'leaving'} as const);
		return {
			atMs: random.below(Math.max(1, durationMs - forMs)),
			forMs,
			fault: {type: 'notice' as const, host: random.below(hosts), notice},
		};
	});
}

/** Draws workers and callers that send without end, from a generator of their own. */
function planEndless(random: Random, {hosts, durationMs}: PlanScope): readonly PlannedFault[] {
	const count = random.below(maximumEndless + 1);
	return Array.from({length: count}, (): PlannedFault => {
		const forMs = minimumFaultMs + random.below(faultDurationSpreadMs);
		const host = random.below(hosts);
		const isOfWorker = random.fraction() < 0.5;
		return {
			atMs: random.below(Math.max(1, durationMs - forMs)),
			forMs,
			fault: isOfWorker
				? {type: 'worker', host, fault: endlessAnswers}
				: {type: 'endless-request', host},
		};
	});
}

/** Draws silences of connections, each with a change at the same time, from a generator of their own. */
function planSilences(random: Random, {durationMs}: PlanScope): readonly PlannedFault[] {
	const count = random.below(maximumSilences + 1);
	return Array.from({length: count}, () => random.below(durationMs)).flatMap((atMs) => [
		{atMs, forMs: 0, fault: {type: 'silent-connections' as const}},
		{atMs, forMs: 0, fault: {type: 'change' as const}},
	]);
}

/** Draws the returns of the store from older copies, from a generator of their own. */
function planStoreReturns(random: Random, {durationMs}: PlanScope): readonly PlannedFault[] {
	const count = random.below(maximumStoreReturns + 1);
	return Array.from({length: count}, () => ({
		atMs: random.below(Math.max(1, durationMs - minimumFaultMs - storeAwaySpreadMs)),
		forMs: minimumFaultMs + random.below(storeAwaySpreadMs),
		fault: {type: 'store-return' as const},
	}));
}

/** Draws a series of faults of one kind that all affect one host or each affect a random host. */
function planSeries(random: Random, {hosts, durationMs}: PlanScope): readonly PlannedFault[] {
	const kind = pick(random, weightedSeriesKinds);
	const isSingleHost = random.fraction() < 0.5;
	const fixedHost = random.below(hosts);
	// All hosts restart after a power loss; more than one per series would leave no time to serve.
	const length = kind === 'power-loss' ? 1 : minimumSeriesLength + random.below(seriesLengthSpread);
	const faults: PlannedFault[] = [];
	let atMs = random.below(durationMs);
	for (let index = 0; index < length; index++) {
		const host = isSingleHost ? fixedHost : random.below(hosts);
		const forMs = minimumFaultMs + random.below(faultDurationSpreadMs);
		if (atMs + forMs > durationMs) {
			break;
		}

		faults.push({atMs, forMs, fault: drawFault(random, kind, host)});
		atMs += random.below(startGapSpreadMs);
	}

	return faults;
}

function drawFault(
	random: Random,
	kind: (typeof weightedSeriesKinds)[number],
	host: number,
): SoakFault {
	switch (kind) {
		case 'link': {
			const purpose = pick(random, linkPurposes);
			return {type: 'link', host, purpose, behaviour: drawBehaviour(random, purpose)};
		}

		case 'process': {
			return {type: 'process', host, fault: pick(random, processFaults)};
		}

		case 'worker': {
			return {type: 'worker', host, fault: pick(random, workerFaults)};
		}

		case 'change':
		case 'power-loss': {
			return {type: kind};
		}
	}
}

function drawBehaviour(random: Random, purpose: LinkPurpose): LinkBehaviour {
	const delayMs = 1 + random.below(maximumDelayMs);
	const behaviours: readonly LinkBehaviour[] = [
		{type: 'delay', delayMs},
		{type: 'silence'},
		{type: 'deaf'},
		{type: 'mute'},
		{type: 'reset'},
	];
	// Datagrams have no connections, so `reset` (the last entry) doesn't apply to them.
	return pick(random, purpose === 'datagrams' ? behaviours.slice(0, -1) : behaviours);
}

function pick<T>(random: Random, items: readonly T[]): T {
	return items[random.below(items.length)];
}
