import {type RolloutEvidence} from './rollout-evidence.js';

const msPerSecond = 1000;
/** Typical age of evidence, for the rate of calls. */
const evidenceAgeMs = 200;
/** Part of the calls that were sent to the target by plan that has to show in the evidence. */
const fewestReportedPart = 0.5;

/** Counts the calls that the target version of a rollout got, by evidence and by the shares in force. */
export class ExposureMeter {
	readonly #target: string;
	readonly #evidence: RolloutEvidence;
	/** Time in which all calls would be as many as the target got by the shares in force. */
	#exposedMs: number;
	#elapsedMs: number;

	/** @param before - time since the order, and the share in force up to now. */
	constructor(
		target: string,
		evidence: RolloutEvidence,
		before: {readonly elapsedMs: number; readonly share: number},
	) {
		this.#target = target;
		this.#evidence = evidence;
		this.#elapsedMs = before.elapsedMs;
		this.#exposedMs = before.elapsedMs * before.share;
	}

	/** Calls of the service in a second, as far as there is evidence. */
	get callsPerSecond(): number {
		const dispatched = this.#evidence.dispatched();
		return (dispatched * msPerSecond) / Math.max(evidenceAgeMs, this.#elapsedMs - evidenceAgeMs);
	}

	/** Calls that the target got, by evidence or by plan, whichever is more. */
	get calls(): number {
		return Math.max(this.#reportedCalls, this.#plannedCalls);
	}

	/** Whether the evidence covers enough of the calls of the target; a data centre may be cut off. */
	get isReported(): boolean {
		return this.#reportedCalls >= fewestReportedPart * this.#plannedCalls;
	}

	/** Adds the time up to `elapsedMs` since the order, in which `share` was in force. */
	advance(elapsedMs: number, share: number): void {
		this.#exposedMs += (elapsedMs - this.#elapsedMs) * share;
		this.#elapsedMs = elapsedMs;
	}

	get #reportedCalls(): number {
		return this.#evidence.dispatched(this.#target);
	}

	get #plannedCalls(): number {
		const dispatched = this.#evidence.dispatched();
		return (dispatched * this.#exposedMs) / Math.max(1, this.#elapsedMs);
	}
}
