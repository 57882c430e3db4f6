import {type LoadClass, type LoadResult, type Worth} from './load-simulation.js';

/** What callers got whose calls arrived in a part of the time; `asked` counts those that have ended. */
export type WindowResult = LoadResult & {
	readonly fromMs: number;
	readonly earned: number;
	/** Worth earned, as a share of that of all calls in time. */
	readonly worth: number;
	/** Median time to an answer of those that were served, in milliseconds. */
	readonly p50Ms: number;
};

type Window = LoadResult & {owed: number; earned: number; readonly tookMs: number[]};

const windowMs = 2000;
const usualWorth: Worth = {inTarget: 1, late: 0.5};

/** Counts what became of callers' calls, by class and by the time of their arrival. */
export class LoadMeter {
	readonly #classes = new Map<string, LoadClass>();
	readonly #results = new Map<string, LoadResult>();
	readonly #windows: Window[] = [];

	/** Results by the name of the class. */
	get classes(): ReadonlyMap<string, LoadResult> {
		return this.#results;
	}

	/** Worth that the calls of each class earned, as a share of that of all of them in time. */
	get worthByClass(): ReadonlyMap<string, number> {
		return new Map(
			[...this.#classes].map(([name, {worth = usualWorth}]) => {
				const {inTarget, late, unserved} = this.#results.get(name)!;
				const earned = inTarget * worth.inTarget + late * worth.late;
				return [name, earned / Math.max(1, (inTarget + late + unserved) * worth.inTarget)];
			}),
		);
	}

	/** Results of the windows, each 2 s long. */
	get windows(): readonly WindowResult[] {
		return this.#windows.map(({owed, earned, tookMs, ...result}, index) => ({
			...result,
			fromMs: index * windowMs,
			earned,
			worth: earned / Math.max(1, owed),
			p50Ms: tookMs.toSorted((a, b) => a - b)[Math.floor(tookMs.length / 2)] ?? 0,
		}));
	}

	add(callClass: LoadClass): void {
		this.#classes.set(callClass.name, callClass);
		this.#results.set(callClass.name, {asked: 0, inTarget: 0, late: 0, unserved: 0});
	}

	onAsked(callClass: LoadClass): void {
		this.#resultOf(callClass).asked += 1;
	}

	/** @param arrivedAt - when the caller sent the call first, in virtual milliseconds. */
	onServed(callClass: LoadClass, arrivedAt: number, now: number): void {
		const tookMs = now - arrivedAt;
		const kind = tookMs <= callClass.targetMs ? 'inTarget' : 'late';
		const window = this.#end(callClass, arrivedAt, kind);
		window.earned += (callClass.worth ?? usualWorth)[kind];
		window.tookMs.push(tookMs);
	}

	onUnserved(callClass: LoadClass, arrivedAt: number): void {
		this.#end(callClass, arrivedAt, 'unserved');
	}

	#end(callClass: LoadClass, arrivedAt: number, kind: 'inTarget' | 'late' | 'unserved'): Window {
		const window = this.#windowAt(arrivedAt);
		this.#resultOf(callClass)[kind] += 1;
		window[kind] += 1;
		window.asked += 1;
		window.owed += (callClass.worth ?? usualWorth).inTarget;
		return window;
	}

	#windowAt(time: number): Window {
		const index = Math.floor(time / windowMs);
		while (this.#windows.length <= index) {
			const result = {asked: 0, inTarget: 0, late: 0, unserved: 0};
			this.#windows.push({...result, owed: 0, earned: 0, tookMs: []});
		}

		return this.#windows[index];
	}

	#resultOf({name}: LoadClass): LoadResult {
		return this.#results.get(name)!;
	}
}
