import {windowBound, type QuotaBounds} from 'redwingmill-core';
import {type Quota} from 'redwingmill-text';

/** Result for one workspace, or for all. */
export type QuotaResult = {
	/** Largest number of calls in any window, as a share of the bound. */
	readonly worstWindow: number;
	/** Calls after which the last window was over the bound. */
	readonly over: number;
	/** Calls that one token bucket for the whole mesh would have admitted. */
	readonly owed: number;
	/** Calls admitted, up to what was owed in each interval of 2.5 s. */
	readonly delivered: number;
	/** Calls within windows in which no more was asked for than the quota, and those of them admitted. */
	readonly calm: number;
	readonly calmAdmitted: number;
};

/** Quota in force from a time on. */
export type QuotaPhase = {readonly from: number; readonly quota: Quota};

/** Time after a quota is lowered from which it is checked, besides one window. */
const loweringMs = 2500;

const intervalMs = 2500;

/** Times of the events of a sliding window. */
class RecentTimes {
	#times: number[] = [];
	#head = 0;

	get count(): number {
		return this.#times.length - this.#head;
	}

	add(now: number, windowMs: number): void {
		this.#times.push(now);
		while (this.#times[this.#head] <= now - windowMs) {
			this.#head += 1;
		}

		if (this.#head > 1000 && this.#head * 2 > this.#times.length) {
			this.#times = this.#times.slice(this.#head);
			this.#head = 0;
		}
	}
}

/** Measures one workspace's calls against its quota. */
export class QuotaMeter {
	readonly #bounds: QuotaBounds;
	readonly #phases: readonly QuotaPhase[];
	#tokens: number;
	#at = 0;
	readonly #asked = new RecentTimes();
	readonly #admitted = new RecentTimes();
	#worstWindow = 0;
	#over = 0;
	#owed = 0;
	#delivered = 0;
	#interval = 0;
	#owedInInterval = 0;
	#admittedInInterval = 0;
	#calm = 0;
	#calmAdmitted = 0;

	constructor(phases: readonly QuotaPhase[], bounds: QuotaBounds) {
		this.#phases = phases;
		this.#bounds = bounds;
		this.#tokens = Math.max(1, phases[0].quota.burst);
	}

	record(isAdmitted: boolean, now: number): void {
		const {quota} = this.#phases.findLast(({from}) => from <= now) ?? this.#phases[0];
		const {windowMs} = this.#bounds;
		this.#asked.add(now, windowMs);
		this.#beginInterval(now);
		this.#tokens = Math.min(
			Math.max(1, quota.burst),
			this.#tokens + ((now - this.#at) * quota.perSecond) / 1000,
		);
		this.#at = now;
		const isOwed = this.#tokens >= 1;
		if (isOwed) {
			this.#tokens -= 1;
			this.#owedInInterval += 1;
		}

		this.#admittedInInterval += isAdmitted ? 1 : 0;
		const isCalm = this.#asked.count <= (quota.perSecond * windowMs) / 1000 + quota.burst;
		this.#calm += isCalm ? 1 : 0;
		this.#calmAdmitted += isCalm && isAdmitted ? 1 : 0;
		if (isAdmitted) {
			this.#recordAdmitted(now);
		}
	}

	get result(): QuotaResult {
		this.#endInterval();
		return {
			worstWindow: this.#worstWindow,
			over: this.#over,
			owed: this.#owed,
			delivered: this.#delivered,
			calm: this.#calm,
			calmAdmitted: this.#calmAdmitted,
		};
	}

	#beginInterval(now: number): void {
		const interval = Math.floor(now / intervalMs);
		if (interval !== this.#interval) {
			this.#endInterval();
			this.#interval = interval;
		}
	}

	#endInterval(): void {
		this.#owed += this.#owedInInterval;
		// What is admitted in other intervals beyond what is owed doesn't make up for refusals in this one.
		this.#delivered += Math.min(this.#owedInInterval, this.#admittedInInterval);
		this.#owedInInterval = 0;
		this.#admittedInInterval = 0;
	}

	#recordAdmitted(now: number): void {
		const {windowMs} = this.#bounds;
		this.#admitted.add(now, windowMs);
		// A lower quota applies to windows that begin after it has spread; a higher one at once.
		const valid = this.#phases.filter(
			({from}, index) =>
				from <= now &&
				(this.#phases.at(index + 1)?.from ?? Number.POSITIVE_INFINITY) + loweringMs + windowMs >
					now,
		);
		const bound = Math.max(...valid.map(({quota}) => windowBound(quota, this.#bounds)));
		const share = this.#admitted.count / bound;
		this.#worstWindow = Math.max(this.#worstWindow, share);
		this.#over += share > 1 ? 1 : 0;
	}
}

/** Sums results; the worst window is the largest. */
export function sumResults(results: readonly QuotaResult[]): QuotaResult {
	const sum = {worstWindow: 0, over: 0, owed: 0, delivered: 0, calm: 0, calmAdmitted: 0};
	for (const each of results) {
		sum.worstWindow = Math.max(sum.worstWindow, each.worstWindow);
		sum.over += each.over;
		sum.owed += each.owed;
		sum.delivered += each.delivered;
		sum.calm += each.calm;
		sum.calmAdmitted += each.calmAdmitted;
	}

	return sum;
}
