import {TokenBucket} from 'redwingmill-shared';
import {crashesAtNodes, mergeCrashes, type CrashCounts, type GateCrashes} from './crash-counts.js';
import {type SuspectedRequests, type Suspicion, type SuspicionLevel} from './suspected-requests.js';

/** Properties of a call by which crashes are attributed. */
export type FingerprintedCall = {
	/** Nodes whose workers crashed while running this call, as far as the entry node knows. */
	readonly crashedNodes: readonly string[];
	/** Identifies the request by its contents. */
	readonly fingerprint: () => string;
};

/** All crashes on a request that the reporting node knows of. */
export type SuspicionReport = {readonly isCleared: false} & Suspicion;

/** Report to the other nodes on a request that crashed workers or was suspected of it. */
export type CrashReport =
	| SuspicionReport
	/** The request succeeded, so it is no longer suspected. */
	| {readonly isCleared: true; readonly fingerprint: string};

/** Identifies one life of a gate. */
export type GateIdentity = Pick<GateCrashes, 'node' | 'incarnation'>;

/** What became of a crash or of a report on one; for the log. */
export type CrashNotice =
	/** The worker crashed on this request; `crashes` is the count known here. */
	| {readonly type: 'crash-attributed'; readonly fingerprint: string; readonly crashes: number}
	| {
			readonly type: 'crash-not-attributed';
			readonly fingerprint: string;
			readonly reason: 'unproven-worker';
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
	| {readonly type: 'suspect'; readonly report: CrashReport}
	/** Keeps the crashes on a quarantined request where nodes that start later find them. */
	| {readonly type: 'keep-crashes'; readonly report: SuspicionReport}
	| {readonly type: 'crash-notice'; readonly notice: CrashNotice};

/**
 * Limits a gate's reports of first crashes and of cleared requests: a faulty worker would otherwise
 * flood the mesh with them. All first crashes that one end of the worker causes count as one.
 */
const reportBurst = 10;
const reportsPerSecond = 1;
/** Reports sent at once to a node that knows less. */
const maximumReports = 20;
/** Calls that break within this time after a crash are attributed to the same crash. */
const sameCrashMs = 200;

/** Decides which requests are suspected of crashing the worker and what is reported of them. */
export class CrashTracker {
	readonly #suspectedRequests: SuspectedRequests;
	readonly #crashReports: TokenBucket;
	readonly #clearReports: TokenBucket;
	readonly #identity: GateIdentity;
	/** Whether the worker has run a call successfully since its last crash. */
	#hasSucceeded = false;
	#crashedAt = Number.NEGATIVE_INFINITY;
	/** Time of the last end of the worker whose first crashes were reported. */
	#reportedCrashAt = Number.NEGATIVE_INFINITY;

	constructor(suspectedRequests: SuspectedRequests, identity: GateIdentity, now: number) {
		this.#suspectedRequests = suspectedRequests;
		this.#identity = identity;
		this.#crashReports = new TokenBucket(reportBurst, reportsPerSecond, now);
		this.#clearReports = new TokenBucket(reportBurst, reportsPerSecond, now);
	}

	/** Returns how strongly the call's request is suspected of crashing workers. */
	suspicionOf(call: FingerprintedCall, now: number): SuspicionLevel {
		if (this.#suspectedRequests.isEmpty && call.crashedNodes.length === 0) {
			return 'none';
		}

		const crashes = crashesAtNodes(call.crashedNodes);
		return this.#suspectedRequests.suspicionOf(call.fingerprint(), crashes, now);
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
		return wasSuspected ? [this.#reportCleared(fingerprint, now)] : [];
	}

	/** Records that the worker crashed on the call. */
	onCrash(call: FingerprintedCall, now: number): CrashEffect[] {
		const fingerprint = call.fingerprint();
		const crashesBefore = crashesAtNodes(call.crashedNodes);
		if (!this.#isWorkerProven(now) && !this.#hasCrashedElsewhere(fingerprint, crashesBefore, now)) {
			return [notAttributed(fingerprint, 'unproven-worker')];
		}

		const crashes = mergeCrashes(crashesBefore, [
			{...this.#identity, count: this.#ownCrashes(fingerprint, now) + 1},
		]);
		this.#suspectedRequests.recordCrashes({fingerprint, crashes, ageMs: 0}, now);
		const known = this.#suspectedRequests.lookUp(fingerprint, now);
		const count = this.#suspectedRequests.crashCountOf(fingerprint, now);
		const notice = {type: 'crash-attributed', fingerprint, crashes: count} as const;
		return [
			{type: 'crash-notice', notice},
			...(known ? [this.#reportCrash(known, count, now)] : []),
			...this.#keepIfQuarantined(fingerprint, now),
		];
	}

	/** Applies another node's report; contradicts it if the request has succeeded here since. */
	onReport(report: CrashReport, node: string, now: number): CrashEffect[] {
		const {fingerprint} = report;
		if (report.isCleared) {
			this.#suspectedRequests.clear(fingerprint, now);
			return [];
		}

		// Nodes of earlier versions report only that a worker crashed.
		const crashes = report.crashes.length > 0 ? report.crashes : crashesAtNodes([node]);
		const levelBefore = this.#suspectedRequests.suspicionOf(fingerprint, [], now);
		if (!this.#suspectedRequests.recordCrashes({...report, crashes}, now)) {
			return [this.#reportCleared(fingerprint, now)];
		}

		const known = this.#suspectedRequests.crashesOf(fingerprint, now);
		const notice = {
			type: 'report-received',
			fingerprint,
			node,
			crashes: this.#suspectedRequests.crashCountOf(fingerprint, now),
		} as const;
		return [
			{type: 'crash-notice', notice},
			...(levelBefore !== 'quarantined' && node !== this.#identity.node && this.#isFirstOf(known)
				? this.#keepIfQuarantined(fingerprint, now)
				: []),
		];
	}

	/** Returns a digest by which nodes notice that they know of different crashes; 0 for none. */
	digestAt(now: number): number {
		return this.#suspectedRequests.digestAt(now);
	}

	/** Returns reports of what {@link digestAt} covers, for a node that knows less. */
	reports(now: number): CrashReport[] {
		return this.#suspectedRequests
			.repeatedCrashes(maximumReports, now)
			.map((suspicion) => ({isCleared: false, ...suspicion}));
	}

	/** Returns the number of crashes on the request that this gate has counted. */
	#ownCrashes(fingerprint: string, now: number): number {
		const {node, incarnation} = this.#identity;
		return (
			this.#suspectedRequests
				.crashesOf(fingerprint, now)
				.find((each) => each.node === node && each.incarnation === incarnation)?.count ?? 0
		);
	}

	/**
	 * Whether the worker had run something successfully since its last crash; if not, it may be at fault
	 * itself. Holds for all calls that one crash ends.
	 */
	#isWorkerProven(now: number): boolean {
		if (this.#hasSucceeded) {
			this.#hasSucceeded = false;
			this.#crashedAt = now;
			return true;
		}

		return now - this.#crashedAt <= sameCrashMs;
	}

	#hasCrashedElsewhere(fingerprint: string, crashesBefore: CrashCounts, now: number): boolean {
		const known = this.#suspectedRequests.crashesOf(fingerprint, now);
		return [...known, ...crashesBefore].some(({node}) => node !== this.#identity.node);
	}

	/** Whether this node is the first, by address, of those whose workers crashed. */
	#isFirstOf(crashes: CrashCounts): boolean {
		const {node} = this.#identity;
		const nodes = crashes.map((each) => each.node);
		return nodes.includes(node) && nodes.every((each) => each >= node);
	}

	#keepIfQuarantined(fingerprint: string, now: number): CrashEffect[] {
		const level = this.#suspectedRequests.suspicionOf(fingerprint, [], now);
		const suspicion = this.#suspectedRequests.lookUp(fingerprint, now);
		return level === 'quarantined' && suspicion
			? [{type: 'keep-crashes', report: {isCleared: false, ...suspicion}}]
			: [];
	}

	#reportCrash(suspicion: Suspicion, count: number, now: number): CrashEffect {
		// Few requests crash two workers, and each of these may crash many more.
		if (count === 1 && !this.#mayReportFirstCrash(now)) {
			return dropped(suspicion.fingerprint, false);
		}

		return {type: 'suspect', report: {isCleared: false, ...suspicion}};
	}

	#mayReportFirstCrash(now: number): boolean {
		if (now - this.#reportedCrashAt <= sameCrashMs) {
			return true;
		}

		const isAllowed = this.#crashReports.take(now);
		this.#reportedCrashAt = isAllowed ? now : this.#reportedCrashAt;
		return isAllowed;
	}

	#reportCleared(fingerprint: string, now: number): CrashEffect {
		return this.#clearReports.take(now)
			? {type: 'suspect', report: {isCleared: true, fingerprint}}
			: dropped(fingerprint, true);
	}
}

function dropped(fingerprint: string, isCleared: boolean): CrashEffect {
	return {type: 'crash-notice', notice: {type: 'report-dropped', fingerprint, isCleared}};
}

function notAttributed(
	fingerprint: string,
	reason: Extract<CrashNotice, {type: 'crash-not-attributed'}>['reason'],
): CrashEffect {
	return {type: 'crash-notice', notice: {type: 'crash-not-attributed', fingerprint, reason}};
}
