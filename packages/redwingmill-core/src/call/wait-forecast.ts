import {type CallQueue, type QueuedCall} from './call-queue.js';
import {type ConcurrencyLimit} from './concurrency-limit.js';
import {type GateCall} from './gate-call.js';
import {type RunTimes} from './run-times.js';
import {type WorkerAllowance} from './worker-allowance.js';

/** Calls that a worker has, besides those in the queue. */
export type Occupancy = {
	readonly running: number;
	/** Calls held back until the worker is idle. */
	readonly held: number;
};

/** What the expected waits of calls depend on. */
export type WaitParts = {
	readonly queue: CallQueue;
	readonly concurrencyLimit: ConcurrencyLimit;
	readonly allowance: WorkerAllowance;
	readonly runTimes: RunTimes;
};

/** Estimates how long calls wait for a worker, in milliseconds. */
export class WaitForecast {
	readonly #parts: WaitParts;

	constructor(parts: WaitParts) {
		this.#parts = parts;
	}

	/** Returns the expected time until a new call that is due at `dueAt` could be dispatched. */
	expectedMs(
		call: QueuedCall,
		{dueAt, ...occupancy}: Occupancy & {readonly dueAt: number},
		now: number,
	): number {
		const {concurrencyLimit} = this.#parts;
		const hasFreeSlot = occupancy.running < concurrencyLimit.value;
		const slotMs = hasFreeSlot ? 0 : this.#slotMs(call, dueAt, now);
		return Math.max(slotMs, this.limitMs(call, {dueAt, ...occupancy}, now));
	}

	/** Returns the time in which all work of ranks as urgent as that of a call is expected to be done. */
	forecastMs(call: QueuedCall, {held}: Occupancy, now: number): number {
		const limitMs = this.limitMs(call, {dueAt: Number.POSITIVE_INFINITY, held}, now);
		return Math.max(this.#workMs(this.#parts.queue.upTo(call), now), limitMs);
	}

	/** Returns the time until the worker's limit allows a new call; 0 if it has none. */
	limitMs(
		call: QueuedCall,
		{dueAt, held}: Pick<Occupancy, 'held'> & {readonly dueAt: number},
		now: number,
	): number {
		const {allowance, queue} = this.#parts;
		if (!allowance.isLimited) {
			return 0;
		}

		let ahead = held;
		for (const _call of queue.ahead(call, dueAt)) {
			ahead += 1;
		}

		const reserve = queue.isMostUrgent(call) ? 0 : allowance.reserve;
		return allowance.waitMs(now, ahead + reserve);
	}

	/**
	 * Returns the expected time until a slot is free for a new call. Calls that are yet to arrive overtake
	 * those of a hot workspace, which therefore get no more than the share that they have got lately.
	 */
	#slotMs(call: QueuedCall, dueAt: number, now: number): number {
		const {queue} = this.#parts;
		const ahead = [...queue.ahead(call, dueAt)];
		const totalMs = this.#workMs(ahead, now);
		const name = call.workspace?.name;
		const own = name === undefined ? [] : ahead.filter(({workspace}) => workspace?.name === name);
		return own.length === 0
			? totalMs
			: Math.max(totalMs, this.#workMs(own, now) / queue.shareOf(call));
	}

	/**
	 * Returns the expected time until a slot is free after these calls, while all slots are busy: their run
	 * times, divided by the concurrency limit.
	 */
	#workMs(calls: Iterable<GateCall>, now: number): number {
		const {concurrencyLimit, runTimes} = this.#parts;
		let workMs = runTimes.meanAt(now);
		for (const {group} of calls) {
			workMs += runTimes.expectedAt(group, now);
		}

		return workMs / concurrencyLimit.value;
	}
}
