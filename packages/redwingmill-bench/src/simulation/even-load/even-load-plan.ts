import {type EndpointChooser} from 'redwingmill-core';
import {type Random} from 'redwingmill-shared';

/** A worker of the simulated service. */
export type Replica = {
	readonly dataCentre: string;
	readonly slots: number;
	/** Factor on run times. */
	readonly slowness: number;
	/** Time at which it joins, and until which it is slow after that; absent when it is there from the start. */
	readonly joins?: {readonly atMs: number; readonly warmAtMs: number};
};

/** Demand of a data centre over time, as factors on the mean rate. */
export type Demand = (dataCentre: string, now: number) => number;

/** Service, callers and reports of a simulation. */
export type EvenLoadPlan = {
	readonly name: string;
	readonly replicas: readonly Replica[];
	/** Entries in each data centre, each with a chooser of its own. */
	readonly entriesPerDataCentre: number;
	/** Demand as a share of the replicas' capacity. */
	readonly load: number;
	readonly demand: Demand;
	/** Interval of load reports to each entry; they are between half of it and one and a half old. */
	readonly reportMs: number;
	/** How often the speed of a host changes, and within which factors on run times; absent when it doesn't. */
	readonly hostTimes?: {
		readonly everyMs: number;
		readonly least: number;
		readonly most: number;
	};
	/** Mean run time of a call at a replica whose slowness is 1. */
	readonly runMs: number;
	readonly targetMs: number;
	readonly deadlineMs: number;
	/** Size of a request and its response. */
	readonly bytes: number;
	/** Times that a caller repeats a refused call. */
	readonly retries: number;
	readonly durationMs: number;
	readonly seed: number;
};

/** A way to choose that is compared with others. */
export type EvenLoadPolicy = {
	readonly name: string;
	readonly newChooser: (dataCentre: string, random: Random) => EndpointChooser;
	/** Waiting calls per slot from which a gate refuses the first attempt of a call; absent when it doesn't. */
	readonly refusesFrom?: number;
};

/** Result of a simulation. */
export type EvenLoadOutcome = {
	/** Calls that ended. */
	readonly calls: number;
	/** Share of calls answered after their target. */
	readonly late: number;
	/** Share of calls that weren't answered before their deadline. */
	readonly refused: number;
	/** Percentiles of the time to an answer in milliseconds; calls that were refused count as their deadline. */
	readonly p50Ms: number;
	readonly p99Ms: number;
	/** Busy slots per slot of the busiest replica relative to the mean. */
	readonly busiestOverMean: number;
	/**
	 * Share of the replicas' time in which calls wait at one while another of the same data centre has a
	 * free slot.
	 */
	readonly queuesBesideFree: number;
	/** Bytes of calls between data centres, per call. */
	readonly remoteBytes: number;
	/** Attempts per call. */
	readonly attempts: number;
	/** Attempts for each time that a caller sends a call, first or again. */
	readonly attemptsPerTry: number;
};
