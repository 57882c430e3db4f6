const msPerSecond = 1000;
/** Weight of the newest sample in the mean. */
const smoothing = 0.2;
/** Delay from which a sample is reported: calls with short targets miss them from about there on. */
const reportedDelayMs = 100;
const reportIntervalMs = 1000;

/** A delay, and the control task that took longest since the last sample. */
export type DelayReport = {
	readonly delayMs: number;
	readonly meanMs: number;
	/** Absent if none was run. */
	readonly task?: string;
	readonly taskMs: number;
};

/**
 * Measures how long events wait for their turn in this process, by how late a regular timer is, and the time
 * that control tasks take. Where they don't explain a delay, calls do, or the host gives the process no time.
 */
export class EventLoopDelay {
	readonly #onDelayed: (report: DelayReport) => void;
	readonly #taskSeconds = new Map<string, number>();
	#longest: {readonly task: string; readonly ms: number} | undefined;
	#sampledAt: number | undefined;
	#reportedAt = Number.NEGATIVE_INFINITY;
	#meanMs = 0;

	/** @param onDelayed - called at most once a second, with a delay that callers notice. */
	constructor(onDelayed: (report: DelayReport) => void) {
		this.#onDelayed = onDelayed;
	}

	/** Mean delay over about the last five samples, in milliseconds. */
	get meanMs(): number {
		return this.#meanMs;
	}

	/** Seconds spent in control tasks since the start, by task. */
	get taskSeconds(): ReadonlyMap<string, number> {
		return this.#taskSeconds;
	}

	/** Records a control task, such as the handling of a datagram. */
	recordTask(task: string, ms: number): void {
		this.#taskSeconds.set(task, (this.#taskSeconds.get(task) ?? 0) + ms / msPerSecond);
		if (ms > (this.#longest?.ms ?? 0)) {
			this.#longest = {task, ms};
		}
	}

	/** @param intervalMs - time after which the timer should have called again. */
	sample(now: number, intervalMs: number): void {
		const delayMs = Math.max(0, now - (this.#sampledAt ?? now - intervalMs) - intervalMs);
		this.#sampledAt = now;
		this.#meanMs += smoothing * (delayMs - this.#meanMs);
		if (delayMs >= reportedDelayMs && now - this.#reportedAt >= reportIntervalMs) {
			this.#reportedAt = now;
			const {task, ms: taskMs = 0} = this.#longest ?? {};
			this.#onDelayed({delayMs, meanMs: this.#meanMs, task, taskMs});
		}

		this.#longest = undefined;
	}
}
