/** Reasons why a call wasn't run; also values of the metrics' `reason` label. */
export const notRunReasons = [
	'no-route',
	'key-unknown',
	'quota-exceeded',
	'configuration-behind',
	'configuration-unconfirmed',
	'route-inactive',
	'not-serving',
	'no-endpoint',
	'throttled',
	'connection-refused',
	'body-too-large',
	'entry-full',
	'ticket-invalid',
	'draining',
	'worker-absent',
	'worker-shed',
	'worker-unreachable',
	'worker-replaced',
	'worker-stalled',
	'worker-limited',
	'queue-full',
	'queue-too-slow',
	'waited-too-long',
	'displaced',
	'deadline-too-close',
	'deadline-passed',
	'withdrawn',
	'quarantined',
	'cancelled',
] as const;
export type NotRunReason = (typeof notRunReasons)[number];

/** Reasons why it isn't known whether a call was run. */
export const unknownReasons = [
	'gate-gone',
	'gate-silent',
	'gate-unreached',
	'worker-died',
	'answer-lost',
	'worker-timeout',
	'answer-too-large',
	'evicted',
	'cancelled',
	'deadline-passed',
	'node-stopped',
] as const;
export type UnknownReason = (typeof unknownReasons)[number];

/** Outcome of a call, as far as it is known when the call is answered. */
export type Outcome =
	| {readonly type: 'ran'}
	| {readonly type: 'not-run'; readonly reason: NotRunReason}
	| {readonly type: 'unknown'; readonly reason: UnknownReason};

/** Reasons that may no longer hold later, so that the answer carries a `Retry-After`. */
const transientReasons: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
	'configuration-behind',
	'configuration-unconfirmed',
	'quota-exceeded',
	'route-inactive',
	'not-serving',
	'no-endpoint',
	'throttled',
	'connection-refused',
	'entry-full',
	'draining',
	'worker-absent',
	'worker-shed',
	'worker-unreachable',
	'worker-replaced',
	'worker-stalled',
	'worker-limited',
	'queue-full',
	'queue-too-slow',
	'waited-too-long',
	'displaced',
	'deadline-too-close',
	'quarantined',
]);

/** Whether the same call may succeed later. */
export function isTransient(reason: NotRunReason): boolean {
	return transientReasons.has(reason);
}
