import {TokenBucket} from 'redwingmill-shared';
import {type SuspectedRequests, type SuspicionLevel} from './suspected-requests.js';

/** The call as far as crashes are concerned. */
export type FingerprintedCall = {
	/** Nodes whose workers died of this call, as far as the entry node knows. */
	readonly crashedNodes: readonly string[];
	/** Names the request by its contents. */
	readonly fingerprint: () => string;
};

/** News of a request for the other nodes. */
export type CrashReport = {
	readonly fingerprint: string;
	/** Whether the request ran well, so that it isn't to blame. */
	readonly isCleared: boolean;
};

/** Suspicions that one gate may spread; a bad worker would otherwise flood the mesh. */
const reportBurst = 10;
const reportsPerSecond = 1;
/** Calls that break within this time of each other were ended by the same death. */
const sameCrashMs = 200;

/** Decides which requests are to blame for deaths of the worker, and what the others are told. */
export class CrashTracker {
	readonly #suspectedRequests: SuspectedRequests;
	readonly #reports: TokenBucket;
	readonly #node: string;
	/** Whether the worker has run a call since it last died. */
	#hasSucceeded = false;
	#crashedAt = Number.NEGATIVE_INFINITY;

	/** @param node - control address of the gate's node. */
	constructor(suspects: SuspectedRequests, node: string, now: number) {
		this.#suspectedRequests = suspects;
		this.#node = node;
		this.#reports = new TokenBucket(reportBurst, reportsPerSecond, now);
	}

	suspicionOf(call: FingerprintedCall, now: number): SuspicionLevel {
		if (this.#suspectedRequests.isEmpty && call.crashedNodes.length === 0) {
			return 'none';
		}

		return this.#suspectedRequests.suspicionOf(call.fingerprint(), call.crashedNodes, now);
	}

	/** Milliseconds until a quarantined request is let through again. */
	remainingMs(call: FingerprintedCall, now: number): number {
		return this.#suspectedRequests.remainingMs(call.fingerprint(), now);
	}

	/** The worker ran the call. */
	onSuccess(call: FingerprintedCall, now: number): CrashReport | undefined {
		this.#hasSucceeded = true;
		const fingerprint = call.fingerprint();
		const wasSuspected = this.#suspectedRequests.clear(fingerprint, now);
		return wasSuspected ? this.#report(fingerprint, true, now) : undefined;
	}

	/** The worker died while it ran the call. */
	onCrash(call: FingerprintedCall, now: number): CrashReport | undefined {
		if (!this.#isAttributable(now)) {
			return undefined;
		}

		const fingerprint = call.fingerprint();
		const nodes = [...call.crashedNodes, this.#node];
		const counts = this.#suspectedRequests.recordCrash(fingerprint, nodes, now);
		return counts ? this.#report(fingerprint, false, now) : undefined;
	}

	/** Takes another node's word; contradicts it when the request ran well here. */
	onReport(
		{fingerprint, isCleared}: CrashReport,
		node: string,
		now: number,
	): CrashReport | undefined {
		if (isCleared) {
			this.#suspectedRequests.clear(fingerprint, now);
			return undefined;
		}

		const counts = this.#suspectedRequests.recordCrash(fingerprint, [node], now);
		return counts ? undefined : this.#report(fingerprint, true, now);
	}

	/** A worker that runs nothing well says nothing about requests; calls that end together count alike. */
	#isAttributable(now: number): boolean {
		if (this.#hasSucceeded) {
			this.#hasSucceeded = false;
			this.#crashedAt = now;
			return true;
		}

		return now - this.#crashedAt <= sameCrashMs;
	}

	#report(fingerprint: string, isCleared: boolean, now: number): CrashReport | undefined {
		return this.#reports.take(now) ? {fingerprint, isCleared} : undefined;
	}
}
