import {TokenBucket} from 'redwingmill-shared';
import {type SuspectedRequests, type SuspicionLevel} from './suspected-requests.js';

/** Properties of a call by which crashes are attributed. */
export type FingerprintedCall = {
	/** Nodes whose workers crashed while running this call, as far as the entry node knows. */
	readonly crashedNodes: readonly string[];
	/** Identifies the request by its contents. */
	readonly fingerprint: () => string;
};

/** Report to the other nodes on a request that crashed a worker or was suspected of it. */
export type CrashReport = {
	readonly fingerprint: string;
	/** Whether the request succeeded, so that it is no longer suspected. */
	readonly isCleared: boolean;
};

/** Limits a gate's crash reports: a faulty worker would otherwise flood the mesh with them. */
const reportBurst = 10;
const reportsPerSecond = 1;
/** Calls that break within this time after a crash are attributed to the same crash. */
const sameCrashMs = 200;

/** Decides which requests are suspected of crashing the worker and what is reported of them. */
export class CrashTracker {
	readonly #suspectedRequests: SuspectedRequests;
	readonly #reports: TokenBucket;
	readonly #node: string;
	/** Whether the worker has run a call successfully since its last crash. */
	#hasSucceeded = false;
	#crashedAt = Number.NEGATIVE_INFINITY;

	/** @param node - control address of the gate's node. */
	constructor(suspectedRequests: SuspectedRequests, node: string, now: number) {
		this.#suspectedRequests = suspectedRequests;
		this.#node = node;
		this.#reports = new TokenBucket(reportBurst, reportsPerSecond, now);
	}

	/** Returns how strongly the call's request is suspected of crashing workers. */
	suspicionOf(call: FingerprintedCall, now: number): SuspicionLevel {
		if (this.#suspectedRequests.isEmpty && call.crashedNodes.length === 0) {
			return 'none';
		}

		return this.#suspectedRequests.suspicionOf(call.fingerprint(), call.crashedNodes, now);
	}

	/** Returns the milliseconds until a quarantined request is admitted again. */
	remainingMs(call: FingerprintedCall, now: number): number {
		return this.#suspectedRequests.remainingMs(call.fingerprint(), now);
	}

	/** Records that the worker ran the call; returns a report if that clears its request. */
	onSuccess(call: FingerprintedCall, now: number): CrashReport | undefined {
		this.#hasSucceeded = true;
		const fingerprint = call.fingerprint();
		const wasSuspected = this.#suspectedRequests.clear(fingerprint, now);
		return wasSuspected ? this.#report(fingerprint, true, now) : undefined;
	}

	/** Records that the worker crashed on the call; returns a report if the request is now suspected. */
	onCrash(call: FingerprintedCall, now: number): CrashReport | undefined {
		if (!this.#isAttributable(now)) {
			return undefined;
		}

		const fingerprint = call.fingerprint();
		const nodes = [...call.crashedNodes, this.#node];
		const isSuspected = this.#suspectedRequests.recordCrash(fingerprint, nodes, now);
		return isSuspected ? this.#report(fingerprint, false, now) : undefined;
	}

	/** Applies another node's report; returns one that clears a request that recently succeeded here. */
	onReport(
		{fingerprint, isCleared}: CrashReport,
		node: string,
		now: number,
	): CrashReport | undefined {
		if (isCleared) {
			this.#suspectedRequests.clear(fingerprint, now);
			return undefined;
		}

		const isSuspected = this.#suspectedRequests.recordCrash(fingerprint, [node], now);
		return isSuspected ? undefined : this.#report(fingerprint, true, now);
	}

	/**
	 * Whether a crash can be attributed to a request: not when the worker has run nothing successfully
	 * since its last crash, for then it may be at fault itself. A crash is attributed to all calls that
	 * it ends.
	 */
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
