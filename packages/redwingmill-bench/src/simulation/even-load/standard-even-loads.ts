import {type Demand, type EvenLoadPlan, type Replica} from './even-load-plan.js';

const steady: Demand = () => 1;
const slownessBounds = {least: 0.5, most: 1.6} as const;
/** Scatters the slowness of replicas without a random number, so that plans are constants. */
const goldenRatio = 0.618_033_988_75;

/** Returns replicas of uneven speed, spread over the data centres. */
export function replicasOf(
	count: number,
	dataCentreCount: number,
	slots: number,
): readonly Replica[] {
	return Array.from({length: count}, (_, index) => {
		const {least, most} = slownessBounds;
		const slowness = least + (most - least) * (((index + 1) * goldenRatio) % 1);
		return {dataCentre: `dc-${(index % dataCentreCount) + 1}`, slots, slowness};
	});
}

function planOf(name: string, fields: Partial<EvenLoadPlan>): EvenLoadPlan {
	return {
		name,
		replicas: replicasOf(22, 3, 6),
		entriesPerDataCentre: 20,
		load: 0.85,
		demand: steady,
		reportMs: 500,
		runMs: 40,
		targetMs: 150,
		deadlineMs: 1200,
		bytes: 3000,
		retries: 2,
		durationMs: 12_000,
		seed: 1,
		...fields,
	};
}

/** Half a second in five at twice the rate, otherwise less. */
const bursts: Demand = (_, now) => (now % 5000 < 500 ? 1.9 : 0.9);
/** In the second half, the demand of the first data centre arrives at the second one. */
const moved: Demand = (dataCentre, now) => {
	const isMoved = now > 6000;
	return dataCentre === 'dc-1' ? (isMoved ? 0.2 : 1) : dataCentre === 'dc-2' && isMoved ? 1.8 : 1;
};

const hostTimes = {everyMs: 250, least: 0.6, most: 2} as const;

/** Loads under which policies are compared. */
export const standardEvenLoads: readonly EvenLoadPlan[] = [
	planOf('load 0.7', {load: 0.7}),
	planOf('load 0.85', {}),
	planOf('load 0.95', {load: 0.95}),
	planOf('host times 0.7', {load: 0.7, hostTimes}),
	planOf('host times 0.85', {hostTimes}),
	planOf('52 replicas', {
		replicas: replicasOf(52, 4, 5),
		entriesPerDataCentre: 16,
		hostTimes,
		load: 0.8,
		durationMs: 8000,
	}),
	planOf('60 of one centre', {
		replicas: replicasOf(60, 1, 4),
		entriesPerDataCentre: 60,
		load: 0.8,
		durationMs: 6000,
	}),
	planOf('13 slots', {replicas: replicasOf(15, 3, 13), hostTimes, load: 0.8, durationMs: 8000}),
	planOf('1 slot', {replicas: replicasOf(20, 2, 1), load: 0.7, durationMs: 20_000}),
	planOf('2 replicas', {
		replicas: replicasOf(2, 1, 6),
		entriesPerDataCentre: 60,
		load: 0.8,
		durationMs: 30_000,
	}),
	planOf('1 entry', {replicas: replicasOf(12, 1, 6), entriesPerDataCentre: 1}),
	planOf('200 entries', {
		replicas: replicasOf(30, 1, 5),
		entriesPerDataCentre: 200,
		load: 0.8,
		durationMs: 6000,
	}),
	planOf('reports 5 ms', {reportMs: 5, entriesPerDataCentre: 8, load: 0.8, durationMs: 5000}),
	planOf('reports 50 ms', {reportMs: 50, load: 0.8, durationMs: 8000}),
	planOf('reports 1000 ms', {reportMs: 1000, load: 0.8}),
	planOf('bursts', {load: 0.75, demand: bursts}),
	planOf('demand moved', {load: 0.7, demand: moved}),
	planOf('cold replicas', {
		load: 0.75,
		replicas: replicasOf(22, 3, 6).map((replica, index) =>
			index % 5 === 4 ? {...replica, joins: {atMs: 4000, warmAtMs: 7000}} : replica,
		),
	}),
	planOf('short calls', {runMs: 8, targetMs: 60, load: 0.75, durationMs: 4000}),
	planOf('long calls', {
		runMs: 150,
		targetMs: 500,
		deadlineMs: 2500,
		load: 0.8,
		durationMs: 20_000,
	}),
];
