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

/** What became of a crash or of a report on one; for the log. */
export type CrashNotice =
	/** The worker crashed on this request; `crashes` is the count known here. */
	| {readonly type: 'crash-attributed'; readonly fingerprint: string; readonly crashes: number}
	| {
			readonly type: 'crash-not-attributed';
			readonly fingerprint: string;
			readonly reason: 'recently-succeeded' | 'unproven-worker';
	  }
	| {
			readonly type: 'report-received';
			readonly fingerprint: string;
			readonly node: string;
			readonly crashes: number;
	  }
	/** The limit on reports kept this one from the other nodes. */
	| {readonly type: 'report-dropped'; readonly fingerprint: string; readonly isCleared: boolean};

/** Action that the tracker requests from the gate's transport. */
export type CrashEffect =
	/** Reports to the other nodes that a request crashed a worker or, if suspected, succeeded. */
	| ({readonly type: 'suspect'} & CrashReport)
	| {readonly type: 'crash-notice'; readonly notice: CrashNotice};

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

	/** Records that the worker ran the call, which clears its request of suspicion. */
	onSuccess(call: FingerprintedCall, now: number): CrashEffect[] {
		this.#hasSucceeded = true;
		const fingerprint = call.fingerprint();
		const wasSuspected = this.#suspectedRequests.clear(fingerprint, now);
		return wasSuspected ? [this.#report(fingerprint, true, now)] : [];
	}

	/** Records that the worker crashed on the call. */
	onCrash(call: FingerprintedCall, now: number): CrashEffect[] {
		const fingerprint = call.fingerprint();
		if (!this.#isAttributable(now)) {
			return [notAttributed(fingerprint, 'unproven-worker')];
		}

		const nodes = [...call.crashedNodes, this.#node];
		if (!this.#suspectedRequests.recordCrash(fingerprint, nodes, now)) {
			return [notAttributed(fingerprint, 'recently-succeeded')];
		}

		const crashes = this.#suspectedRequests.crashesOf(fingerprint, now);
		return [
			{type: 'crash-notice', notice: {type: 'crash-attributed', fingerprint, crashes}},
			this.#report(fingerprint, false, now),
		];
	}

	/** Applies another node's report; contradicts it if the request recently succeeded here. */
	onReport({fingerprint, isCleared}: CrashReport, node: string, now: number): CrashEffect[] {
		if (isCleared) {
			this.#suspectedRequests.clear(fingerprint, now);
			return [];
		}

		if (!this.#suspectedRequests.recordCrash(fingerprint, [node], now)) {
			return [this.#report(fingerprint, true, now)];
		}

		const crashes = this.#suspectedRequests.crashesOf(fingerprint, now);
		return [{type: 'crash-notice', notice: {type: 'report-received', fingerprint, node, crashes}}];
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

	#report(fingerprint: string, isCleared: boolean, now: number): CrashEffect {
		return this.#reports.take(now)
			? {type: 'suspect', fingerprint, isCleared}
			: {type: 'crash-notice', notice: {type: 'report-dropped', fingerprint, isCleared}};
	}
}

function notAttributed(
	fingerprint: string,
	reason: Extract<CrashNotice, {type: 'crash-not-attributed'}>['reason'],
): CrashEffect {
	return {type: 'crash-notice', notice: {type: 'crash-not-attributed', fingerprint, reason}};
}
