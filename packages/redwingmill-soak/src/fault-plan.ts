import {Random} from 'redwingmill-shared';
import {
	linkPurposes,
	processFaults,
	workerFaults,
	type LinkBehaviour,
	type LinkPurpose,
	type PlannedFault,
	type SoakFault,
} from './soak-fault.js';

/** Size of what a plan is for. */
export type PlanScope = {
	readonly hosts: number;
	/** Faults begin and end within this time. */
	readonly durationMs: number;
};

const minimumSeriesLength = 2;
const seriesLengthSpread = 4;
/** A series starts on average every so often, so that two or three overlap. */
const meanSeriesIntervalMs = 1500;
const minimumFaultMs = 100;
const faultDurationSpreadMs = 2500;
/** Up to this, calls still succeed within their time; beyond, attempts are given up. */
const maximumDelayMs = 400;
const startGapSpreadMs = 1200;
/** Of ten series, how many lead to each sort of fault. */
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

/** Faults in series that overlap, drawn from a seed. The same seed and scope give the same plan. */
export function planFaults(seed: number, scope: PlanScope): readonly PlannedFault[] {
	const random = new Random(seed);
	const count = Math.max(1, Math.floor(scope.durationMs / meanSeriesIntervalMs));
	const faults: PlannedFault[] = [];
	for (let series = 0; series < count; series++) {
		faults.push(...planSeries(random, scope));
	}

	return faults.toSorted((a, b) => a.atMs - b.atMs);
}

/** Faults of one sort in a row; they may strike one host again and again, or different ones. */
function planSeries(random: Random, {hosts, durationMs}: PlanScope): readonly PlannedFault[] {
	const sort = pick(random, weightedSeriesKinds);
	const isOneHost = random.fraction() < 0.5;
	const firstHost = random.below(hosts);
	// Power returns to all hosts once in a series; more would leave no time to serve.
	const length = sort === 'power-loss' ? 1 : minimumSeriesLength + random.below(seriesLengthSpread);
	const faults: PlannedFault[] = [];
	let atMs = random.below(durationMs);
	for (let index = 0; index < length; index++) {
		const host = isOneHost ? firstHost : random.below(hosts);
		const forMs = minimumFaultMs + random.below(faultDurationSpreadMs);
		if (atMs + forMs > durationMs) {
			break;
		}

		faults.push({atMs, forMs, fault: drawFault(random, sort, host)});
		atMs += random.below(startGapSpreadMs);
	}

	return faults;
}

function drawFault(
	random: Random,
	sort: (typeof weightedSeriesKinds)[number],
	host: number,
): SoakFault {
	switch (sort) {
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
			return {type: sort};
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
	// Datagrams know no connections, so there is nothing to reset.
	return pick(random, purpose === 'datagrams' ? behaviours.slice(0, -1) : behaviours);
}

function pick<T>(random: Random, items: readonly T[]): T {
	return items[random.below(items.length)];
}
