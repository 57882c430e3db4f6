import {type LimitChange, type LoadWorker} from './load-simulation.js';

/** What became of the limits that workers state. */
export type LimitResult = {
	/** Requests that limited workers got, as a share of what their limits allow. */
	readonly usedShare: number;
	/** Largest number of requests in any 4 s, as a share of what the worker tolerates then. */
	readonly highestShare: number;
	/** Requests at whose arrival a worker had got more in the last 4 s than it tolerates. */
	readonly over: number;
	/** Requests that came more than the drain time after their worker began to say that it leaves. */
	readonly afterLeaving: number;
	/** Median time in milliseconds from a caller's request to its refusal; undefined if none was refused. */
	readonly refusalMs: number | undefined;
};

const windowMs = 4000;
/** Time in which nodes have to learn of a limit. */
const graceMs = 3000;
const drainMs = 2000;
const msPerSecond = 1000;

/** Counts the requests that workers with a limit get, as the workers see them. */
export class LimitMeter {
	readonly #workers: readonly LoadWorker[];
	readonly #durationMs: number;
	readonly #arrivals = new Map<LoadWorker, number[]>();
	readonly #refusalsMs: number[] = [];
	#highestShare = 0;
	#over = 0;
	#afterLeaving = 0;

	constructor(workers: readonly LoadWorker[], durationMs: number) {
		this.#workers = workers;
		this.#durationMs = durationMs;
	}

	onArrival(worker: LoadWorker, now: number): void {
		const arrivals = this.#arrivals.get(worker) ?? [];
		this.#arrivals.set(worker, arrivals);
		arrivals.push(now);
		this.#afterLeaving += now > (worker.leavesAtMs ?? Number.POSITIVE_INFINITY) + drainMs ? 1 : 0;
		const tolerated = toleratedAt(worker.limits ?? [], now);
		if (tolerated === undefined) {
			return;
		}

		let inWindow = 0;
		while (
			inWindow < arrivals.length &&
			arrivals[arrivals.length - 1 - inWindow] > now - windowMs
		) {
			inWindow += 1;
		}

		this.#highestShare = Math.max(this.#highestShare, inWindow / tolerated);
		this.#over += inWindow > tolerated ? 1 : 0;
	}

	onRefusal(tookMs: number): void {
		this.#refusalsMs.push(tookMs);
	}

	result(): LimitResult {
		let allowed = 0;
		let used = 0;
		for (const worker of this.#workers) {
			for (const {fromMs, toMs, perSecond} of limitedSpans(worker, this.#durationMs)) {
				const arrivals = this.#arrivals.get(worker) ?? [];
				allowed += (perSecond * (toMs - fromMs)) / msPerSecond;
				used += arrivals.filter((at) => at >= fromMs && at < toMs).length;
			}
		}

		const sorted = this.#refusalsMs.toSorted((a, b) => a - b);
		return {
			usedShare: allowed === 0 ? 0 : used / allowed,
			highestShare: this.#highestShare,
			over: this.#over,
			afterLeaving: this.#afterLeaving,
			refusalMs: sorted.at(Math.floor(sorted.length / 2)),
		};
	}
}

/**
 * Returns how many requests a worker tolerates in the 4 s before `now`: by the highest limit that it stated
 * in that time, since a limit can't bind what came before it. Undefined if it had none all the while.
 */
function toleratedAt(limits: readonly LimitChange[], now: number): number | undefined {
	const first = limits.find(({perSecond}) => perSecond !== undefined);
	if (first === undefined || now < first.atMs + graceMs + windowMs) {
		return undefined;
	}

	const inWindow = limits.filter(
		({atMs}, index) => atMs <= now && (limits[index + 1]?.atMs ?? now) >= now - windowMs,
	);
	const highest = Math.max(...inWindow.map(({perSecond}) => perSecond ?? Number.POSITIVE_INFINITY));
	return 1.5 * highest * (windowMs / msPerSecond) + 5;
}

/** Yields the spans with one limit, without the time in which nodes learn of it. */
function* limitedSpans({limits = []}: LoadWorker, durationMs: number) {
	for (const [index, {atMs, perSecond}] of limits.entries()) {
		const fromMs = atMs + graceMs;
		const toMs = Math.min(durationMs, limits[index + 1]?.atMs ?? durationMs);
		if (perSecond !== undefined && toMs > fromMs) {
			yield {fromMs, toMs, perSecond};
		}
	}
}
