import {type Counter as ControlCounter, type Outcome} from 'redwingmill-core';

/** Values of the gauges, read when the metrics are scraped. */
export type GaugeValues = {
	readonly versionInForce: number;
	readonly configurationBehindSeconds: number;
	readonly stoppingSeconds: number;
	readonly controlBytes: number;
	readonly endpoints: number;
	readonly gateRunning: number;
	readonly gateWaiting: number;
	readonly workerRequests: number;
	/** Infinity while the worker states no limit. */
	readonly workerLimitPerSecond: number;
	/** Mean time for which events wait for their turn in this process. */
	readonly eventLoopDelaySeconds: number;
	/** Expected time of a call on its way to the gate of another node and back. */
	readonly transitSeconds: number;
	/** Processor time of this process since its start. */
	readonly processorSeconds: number;
	/** Time spent in control tasks since the start, by task. */
	readonly taskSeconds: ReadonlyMap<string, number>;
	readonly isRelay: boolean;
	readonly isServing: boolean;
	/** Share of a service's calls for the target version of its rollout, by service. */
	readonly rolloutShares: ReadonlyMap<string, number>;
	/** By service, how much busier than their mean the busiest replica of this data centre is. */
	readonly busyShareSpreads: ReadonlyMap<string, number>;
};

/** Calls with one outcome and reason. */
export type CallCount = {
	readonly outcome: Outcome['type'];
	/** Empty for calls that ran. */
	readonly reason: string;
	count: number;
};

/** Number of observations up to each upper bound, and above the last one. */
export type LatencyCounts = {
	/** Not cumulative; the last one counts what exceeds all bounds. */
	readonly counts: readonly number[];
	readonly sumSeconds: number;
};

/** Upper bounds of the latency histogram's buckets. */
export const latencyBucketsSeconds = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5];

/** Counts what a node's metrics show. They are formatted by {@link MetricsPage} when scraped. */
export class Metrics {
	readonly readGauges: () => GaugeValues;
	readonly #calls = new Map<string, CallCount>();
	readonly #retries = new Map<string, number>();
	readonly #controlEvents = new Map<string, number>();
	readonly #latencyCounts = Array.from({length: latencyBucketsSeconds.length + 1}, () => 0);
	#latencySumSeconds = 0;

	constructor(readGauges: () => GaugeValues) {
		this.readGauges = readGauges;
	}

	/** Answered calls, by outcome and reason. */
	get calls(): Iterable<CallCount> {
		return this.#calls.values();
	}

	get retries(): ReadonlyMap<string, number> {
		return this.#retries;
	}

	get controlEvents(): ReadonlyMap<string, number> {
		return this.#controlEvents;
	}

	get latency(): LatencyCounts {
		return {counts: this.#latencyCounts, sumSeconds: this.#latencySumSeconds};
	}

	countCall(outcome: Outcome, seconds: number): void {
		const reason = outcome.type === 'ran' ? '' : outcome.reason;
		const key = `${outcome.type} ${reason}`;
		const known = this.#calls.get(key);
		if (known) {
			known.count += 1;
		} else {
			this.#calls.set(key, {outcome: outcome.type, reason, count: 1});
		}

		const bucket = latencyBucketsSeconds.findIndex((bound) => seconds <= bound);
		this.#latencyCounts[bucket === -1 ? latencyBucketsSeconds.length : bucket] += 1;
		this.#latencySumSeconds += seconds;
	}

	countRetry(reason: string): void {
		increment(this.#retries, reason);
	}

	countControlEvent(
		event:
			| ControlCounter
			| 'platform-retry'
			| 'link-overflow'
			| 'configuration-unanswered'
			| 'configuration-refused'
			| 'watch-renewed'
			| 'worker-limit-malformed'
			| 'worker-load-malformed'
			| 'quota-limited'
			| 'quota-opened'
			| 'rollout-stage'
			| 'rollout-completed'
			| 'rollout-rolled-back'
			| 'rollout-withdrawn'
			| 'rollout-refused'
			| 'rollout-verdicts-differ'
			| 'rollout-status-unwritten',
	): void {
		increment(this.#controlEvents, event);
	}
}

function increment(counts: Map<string, number>, key: string): void {
	counts.set(key, (counts.get(key) ?? 0) + 1);
}
