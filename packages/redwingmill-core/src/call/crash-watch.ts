import {TokenBucket} from 'redwingmill-shared';
import {type SuspectList, type Suspicion} from './suspect-list.js';

/** The call as far as crashes are concerned. */
export type SuspectCall = {
	/** Nodes whose workers died of this call, as far as the entry node knows. */
	readonly struckNodes: readonly string[];
	/** Names the request by its contents. */
	readonly fingerprint: () => string;
};

/** News of a request for the other nodes. */
export type SuspicionReport = {
	readonly fingerprint: string;
	/** Whether the request ran well, so that it isn't to blame. */
	readonly isCleared: boolean;
};

/** Suspicions that one gate may spread; a bad worker would otherwise flood the mesh. */
const reportBurst = 10;
const reportsPerSecond = 1;
/** Calls that break within this time of each other were ended by the same death. */
const sameDeathMs = 200;

/** Decides which requests are to blame for deaths of the worker, and what the others are told. */
export class CrashWatch {
	readonly #suspects: SuspectList;
	readonly #reports: TokenBucket;
	readonly #node: string;
	/** Whether the worker has run a call since it last died. */
	#hasRunWell = false;
	#diedAt = Number.NEGATIVE_INFINITY;

	/** @param node - control address of the gate's node. */
	constructor(suspects: SuspectList, node: string, now: number) {
		this.#suspects = suspects;
		this.#node = node;
		this.#reports = new TokenBucket(reportBurst, reportsPerSecond, now);
	}

	suspicionOf(call: SuspectCall, now: number): Suspicion {
		if (this.#suspects.isEmpty && call.struckNodes.length === 0) {
			return 'none';
		}

		return this.#suspects.suspicionOf(call.fingerprint(), call.struckNodes, now);
	}

	/** Milliseconds until a quarantined request is let through again. */
	remainingMs(call: SuspectCall, now: number): number {
		return this.#suspects.remainingMs(call.fingerprint(), now);
	}

	/** The worker ran the call. */
	onRanWell(call: SuspectCall, now: number): SuspicionReport | undefined {
		this.#hasRunWell = true;
		const fingerprint = call.fingerprint();
		const wasSuspected = this.#suspects.clear(fingerprint, now);
		return wasSuspected ? this.#report(fingerprint, true, now) : undefined;
	}

	/** The worker died while it ran the call. */
	onDied(call: SuspectCall, now: number): SuspicionReport | undefined {
		if (!this.#isCredible(now)) {
			return undefined;
		}

		const fingerprint = call.fingerprint();
		const nodes = [...call.struckNodes, this.#node];
		const counts = this.#suspects.strike(fingerprint, nodes, now);
		return counts ? this.#report(fingerprint, false, now) : undefined;
	}

	/** Takes another node's word; contradicts it when the request ran well here. */
	onReported(
		{fingerprint, isCleared}: SuspicionReport,
		node: string,
		now: number,
	): SuspicionReport | undefined {
		if (isCleared) {
			this.#suspects.clear(fingerprint, now);
			return undefined;
		}

		const counts = this.#suspects.strike(fingerprint, [node], now);
		return counts ? undefined : this.#report(fingerprint, true, now);
	}

	/** A worker that runs nothing well says nothing about requests; calls that end together count alike. */
	#isCredible(now: number): boolean {
		if (this.#hasRunWell) {
			this.#hasRunWell = false;
			this.#diedAt = now;
			return true;
		}

		return now - this.#diedAt <= sameDeathMs;
	}

	#report(fingerprint: string, isCleared: boolean, now: number): SuspicionReport | undefined {
		return this.#reports.take(now) ? {fingerprint, isCleared} : undefined;
	}
}
