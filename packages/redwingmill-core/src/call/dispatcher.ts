import {CallQueue, type QueuedCall} from './call-queue.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {type CrashTracker} from './crash-tracker.js';
import {type GateCall} from './gate-call.js';
import {type GateLimits} from './gate-limits.js';
import {type RunTimes} from './run-times.js';
import {StallDetector} from './stall-detector.js';
import {WaitForecast, type Occupancy} from './wait-forecast.js';
import {WorkerAllowance, type Allowance} from './worker-allowance.js';
import {type WorkerReports} from './worker-reports.js';

/** A call that the worker is running. */
export type RunningCall = {
	readonly call: GateCall;
	/** Number of the worker process that it was sent to. */
	readonly process: number;
	readonly startedAt: number;
	/** What the run times need to know of the start. */
	readonly started: number;
	readonly isSuspected: boolean;
	/** Calls that the worker had from the start on, this one included. */
	readonly concurrency: number;
};

/**
 * Queues the calls for a worker and decides when each may be sent: within the worker's concurrency,
 * the most urgent first, and calls that may crash it alone. Every request to the worker passes here.
 */
export class Dispatcher {
	readonly #limits: GateLimits;
	readonly #crashes: CrashTracker;
	readonly #runTimes: RunTimes;
	readonly #reports: WorkerReports;
	readonly #queue = new CallQueue(({group}) => this.#runTimes.usual(group));
	readonly #running = new Map<string, RunningCall>();
	readonly #concurrencyLimit = new ConcurrencyLimit(1);
	readonly #stallDetector = new StallDetector();
	readonly #allowance = new WorkerAllowance();
	readonly #waits: WaitForecast;
	#slots = 1;
	/** Suspected request held back until the worker is idle; nothing is dispatched before it. */
	#heldCall: GateCall | undefined;
	#runningSuspectedCount = 0;
	#sentCount = 0;
	/** Number of worker processes before the current one. */
	#process = 0;

	constructor({
		limits,
		crashes,
		runTimes,
		reports,
	}: {
		readonly limits: GateLimits;
		readonly crashes: CrashTracker;
		readonly runTimes: RunTimes;
		readonly reports: WorkerReports;
	}) {
		this.#limits = limits;
		this.#crashes = crashes;
		this.#runTimes = runTimes;
		this.#reports = reports;
		this.#waits = new WaitForecast({
			queue: this.#queue,
			concurrencyLimit: this.#concurrencyLimit,
			allowance: this.#allowance,
			runTimes,
		});
	}

	/** Number of calls that the worker is running. */
	get runningCount(): number {
		return this.#running.size;
	}

	/** Number of calls that wait. */
	get waitingCount(): number {
		return this.#queue.size + (this.#heldCall === undefined ? 0 : 1);
	}

	/** Number of calls dispatched since the start. */
	get sentCount(): number {
		return this.#sentCount;
	}

	/** Returns the running and waiting calls per slot. */
	callsPerSlotAt(now: number): number {
		return (this.#occupancyAt(now).running + this.waitingCount) / this.#slots;
	}

	/** Number of calls that may wait. */
	get #queueCapacity(): number {
		return this.#limits.queuePerSlot * this.#slots;
	}

	/** Begins with a new worker process; calls that wait stay. */
	reset(now: number): void {
		this.#process += 1;
		this.#concurrencyLimit.reset();
		this.#stallDetector.onProgress(now);
		this.#allowance.reset();
		this.#queue.reset();
	}

	/** @param perSecond - calls a second that the worker takes; undefined if it limits none. */
	setLimit(perSecond: number | undefined, now: number): void {
		this.#allowance.setLimit(perSecond, now);
	}

	/** Returns what is left of the worker's limit; undefined if it has none. */
	allowanceAt(now: number): Allowance | undefined {
		return this.#allowance.reportAt(now, this.waitingCount);
	}

	resize(slots: number): void {
		this.#slots = slots;
		this.#concurrencyLimit.resize(slots);
	}

	/** Returns the expected time until a new call could be dispatched. */
	expectedWaitMs(call: QueuedCall, dueAt: number, now: number): number {
		return this.#waits.expectedMs(call, {dueAt, ...this.#occupancyAt(now)}, now);
	}

	/** Returns the time in which all work of ranks as urgent as that of a call is expected to be done. */
	forecastMs(call: QueuedCall, now: number): number {
		return this.#waits.forecastMs(call, this.#occupancyAt(now), now);
	}

	/** Returns the time until the worker's limit allows a new call; 0 if it has none. */
	limitWaitMs(call: QueuedCall, dueAt: number, now: number): number {
		return this.#waits.limitMs(call, {dueAt, ...this.#occupancyAt(now)}, now);
	}

	/** Yields the calls that run or wait. */
	*calls(): Generator<GateCall> {
		for (const {call} of this.#running.values()) {
			yield call;
		}

		yield* this.#queue.all();
	}

	/** Whether the worker has calls and has stopped answering. */
	isStalled(now: number): boolean {
		return (
			this.#limits.isLimiting &&
			this.#stallDetector.isStalled(this.#running.size, this.#runTimes, now)
		);
	}

	/** Whether a call may be sent to a stalled worker, to find out whether it has recovered. */
	canProbe(now: number): boolean {
		return this.#stallDetector.canProbe(now);
	}

	/** Whether calls of workspaces have arrived. */
	get hasWorkspaces(): boolean {
		return this.#queue.hasWorkspaces;
	}

	/** Records that a call arrived, whether or not it is admitted. */
	onAsked(call: QueuedCall): void {
		this.#queue.onAsked(call);
	}

	hasRoom(call: QueuedCall, now: number): boolean {
		const {isLimited} = this.#allowance;
		const {running} = this.#occupancyAt(now);
		const isFull = running >= this.#concurrencyLimit.value && this.#limits.isLimiting;
		return !(isLimited || isFull) || this.#queue.hasRoom(call, this.#queueCapacity);
	}

	/** Removes and returns a waiting call to make room for another one; undefined if there is none. */
	displace(call: QueuedCall): GateCall | undefined {
		return this.#queue.displace(call, this.#queueCapacity);
	}

	/** @param dueAt - sort key within the call's rank. */
	add(call: GateCall, dueAt: number): void {
		this.#queue.add(call, dueAt);
	}

	removeWaiting(isSelected: (call: GateCall) => boolean): GateCall[] {
		const removed = this.#queue.removeWhere(isSelected);
		if (this.#heldCall && isSelected(this.#heldCall)) {
			removed.push(this.#heldCall);
			this.#heldCall = undefined;
		}

		return removed;
	}

	/**
	 * Removes and returns the call to dispatch next; undefined while none may be. A call on probation runs
	 * alone, so that only a crash of its own quarantines it.
	 */
	takeNext(now: number): GateCall | undefined {
		if (!this.#hasFreeSlot(now) || this.#allowance.waitMs(now, this.#reserve) > 0) {
			return undefined;
		}

		const call = this.#heldCall ?? this.#queue.pick();
		this.#heldCall = undefined;
		if (call && this.#running.size > 0 && this.#needsIsolation(call, now)) {
			this.#heldCall = call;
			return undefined;
		}

		return call;
	}

	/** Records that a call is sent to the worker. */
	start(key: string, call: GateCall, now: number): void {
		const isSuspected = this.#needsIsolation(call, now);
		this.#runningSuspectedCount += isSuspected ? 1 : 0;
		if (this.#running.size === 0) {
			this.#stallDetector.onProgress(now);
		}

		this.#stallDetector.onDispatch(now);
		this.#sentCount += 1;
		this.#allowance.record(now);
		const started = this.#runTimes.start(now);
		const concurrency = this.#running.size + 1;
		const process = this.#process;
		this.#running.set(key, {call, process, startedAt: now, started, isSuspected, concurrency});
	}

	isRunning(key: string): boolean {
		return this.#running.has(key);
	}

	/** Removes a running call and returns it; undefined if it isn't running. */
	finish(key: string): RunningCall | undefined {
		const running = this.#running.get(key);
		this.#running.delete(key);
		this.#runningSuspectedCount -= running?.isSuspected ? 1 : 0;
		return running;
	}

	/** Whether a call was sent to the current worker process. */
	isCurrent({process}: RunningCall): boolean {
		return process === this.#process;
	}

	/** Records that the worker ended a call. */
	onProgress(now: number): void {
		this.#stallDetector.onProgress(now);
	}

	/** Records that the worker accepted a call. */
	onAccepted({startedAt: at, concurrency}: RunningCall): void {
		this.#concurrencyLimit.onSuccess({at, concurrency});
	}

	/** Records that the worker turned a call away. */
	onShed({startedAt: at, concurrency}: RunningCall, now: number): void {
		this.#concurrencyLimit.onShed({at, concurrency}, now);
	}

	/** Calls that the worker runs although their callers have left take slots as well. */
	#occupancyAt(now: number): Occupancy {
		return {
			running: this.#running.size + this.#reports.extraCallsAt(now),
			held: this.#heldCall === undefined ? 0 : 1,
		};
	}

	/** Calls that are to be left over for the most urgent ones, as long as none of them waits. */
	get #reserve(): number {
		const hasUrgent = this.#heldCall !== undefined || this.#queue.hasMostUrgent;
		return hasUrgent ? 0 : this.#allowance.reserve;
	}

	#hasFreeSlot(now: number): boolean {
		if (!this.#limits.isLimiting) {
			return true;
		}

		// Only an answer brings the next report, so that one call at least is always running.
		const {running} = this.#running.size === 0 ? {running: 0} : this.#occupancyAt(now);
		return this.#runningSuspectedCount === 0 && running < this.#concurrencyLimit.value;
	}

	#needsIsolation(call: GateCall, now: number): boolean {
		switch (this.#crashes.suspicionOf(call, now)) {
			case 'none':
			case 'quarantined': {
				return false;
			}

			case 'suspect': {
				return this.#limits.isolatesSuspects;
			}

			case 'probation': {
				return true;
			}
		}
	}
}
