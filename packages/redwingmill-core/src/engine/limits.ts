import {type Backoff} from 'redwingmill-shared';

/** Durations and bounds of the control plane. All durations in milliseconds. */
export type Limits = {
	/** Shortest time between two batches of endpoint news. */
	readonly distributionIntervalMs: number;
	readonly heartbeatIntervalMs: number;
	/** A link without a message for this long is dead. */
	readonly linkTimeoutMs: number;
	/** Time a node whose link closed has to register again. */
	readonly reconnectGraceMs: number;
	/** Time nodes known to a new relay have to register with it. */
	readonly newRelayGraceMs: number;
	/** How long a relay waits when more than half of its nodes seem gone at once. */
	readonly massFailureGraceMs: number;
	/** Time without an event after which a node takes itself for paused. */
	readonly pauseThresholdMs: number;
	/** Time without a relay after which a node serves what it holds. */
	readonly detachmentTimeoutMs: number;
	/** A data centre silent for this long takes no part in acceptance. */
	readonly dataCentreTimeoutMs: number;
	readonly dataCentreHeartbeatMs: number;
	/** Time given to a link that is being opened and registered. */
	readonly registrationTimeoutMs: number;
	/** How long a relay candidate that failed isn't tried again. */
	readonly failedCandidateRetryMs: number;
	/** How long another data centre's relay that failed isn't tried again. */
	readonly failedPeerRetryMs: number;
	/** Interval at which an unnamed relay looks for a better one. */
	readonly relayProbeIntervalMs: number;
	readonly registrationBackoff: Backoff;
	/** Registrations that a relay admits per second, and at once. */
	readonly admissionsPerSecond: number;
	readonly admissionBurst: number;
	/** Time after which a configuration message that wasn't answered is sent again. */
	readonly resendIntervalMs: number;
	/** Shortest time between two writes of the own data centre's object. */
	readonly writeIntervalMs: number;
	/** Full jitter before a relay that isn't the first in rank tries the acceptance. */
	readonly acceptanceJitterMs: number;
	/** Sends whole tables instead of changed records; the baseline of measurements. */
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
