import {type Backoff} from 'redwingmill-shared';

/** Durations and bounds of the control plane. All durations are in milliseconds. */
export type Limits = {
	/** Shortest time between two batches of changed records. */
	readonly distributionIntervalMs: number;
	readonly heartbeatIntervalMs: number;
	/** Time without a message after which a registered link is closed. */
	readonly linkTimeoutMs: number;
	/** Time in which a node whose link was closed has to register again. */
	readonly reconnectGraceMs: number;
	/** Time in which the nodes that a new relay knows have to register with it. */
	readonly newRelayGraceMs: number;
	/** How long a relay waits when more than half of its nodes seem to have failed at once. */
	readonly massFailureGraceMs: number;
	/** Time between two events above which this process counts as paused. */
	readonly pauseThresholdMs: number;
	/** Time without a relay after which a node goes on as `detached` with the version it holds. */
	readonly detachmentTimeoutMs: number;
	/**
	 * Time without a change of its object after which a data centre is left out of acceptance, and
	 * time without the platform after which a relay is `detached`.
	 */
	readonly dataCentreTimeoutMs: number;
	readonly dataCentreHeartbeatMs: number;
	/** Time in which a link has to be opened and registered. */
	readonly registrationTimeoutMs: number;
	/** Time before a relay candidate that failed is tried again. */
	readonly failedCandidateRetryMs: number;
	/** Time before another data centre's relay that failed is tried again. */
	readonly failedPeerRetryMs: number;
	/** Interval at which an unnamed relay looks for a named or higher-ranked one. */
	readonly relayProbeIntervalMs: number;
	readonly registrationBackoff: Backoff;
	/** Mean rate of registrations that a relay admits. */
	readonly admissionsPerSecond: number;
	/** Number of registrations that a relay admits at once after a time without any. */
	readonly admissionBurst: number;
	/** Time after which a configuration message or record without an answer is sent again. */
	readonly resendIntervalMs: number;
	/** Shortest time between two writes of the local data centre's object. */
	readonly writeIntervalMs: number;
	/** Bound of the jitter after which relays other than the first in rank write the acceptance. */
	readonly acceptanceJitterMs: number;
	/** Whether whole tables are sent instead of changed records, as a baseline for measurements. */
	readonly sendsWholeTables: boolean;
};

export const defaultLimits: Limits = {
	distributionIntervalMs: 100,
	heartbeatIntervalMs: 2500,
	linkTimeoutMs: 7500,
	reconnectGraceMs: 1000,
	newRelayGraceMs: 5000,
	massFailureGraceMs: 6000,
	pauseThresholdMs: 5000,
	detachmentTimeoutMs: 5000,
	dataCentreTimeoutMs: 12_000,
	dataCentreHeartbeatMs: 4000,
	registrationTimeoutMs: 2000,
	failedCandidateRetryMs: 5000,
	failedPeerRetryMs: 1000,
	relayProbeIntervalMs: 3000,
	registrationBackoff: {baseMs: 200, ceilingMs: 4000},
	admissionsPerSecond: 100,
	admissionBurst: 50,
	resendIntervalMs: 1500,
	writeIntervalMs: 50,
	acceptanceJitterMs: 1000,
	sendsWholeTables: false,
};
