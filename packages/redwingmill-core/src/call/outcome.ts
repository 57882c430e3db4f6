/** Why a call wasn't run. Each reason has a counter. */
export const notRunReasons = [
	'no-route',
	'route-inactive',
	'not-serving',
	'no-endpoint',
	'connection-refused',
	'body-too-large',
	'ticket-invalid',
	'draining',
	'worker-absent',
	'worker-shed',
	'worker-unreachable',
	'worker-replaced',
	'worker-stalled',
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

/** Why it isn't known whether a call was run. */
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
] as const;
export type UnknownReason = (typeof unknownReasons)[number];

/** What is known of a call when it is answered. */
export type Outcome =
	| {readonly type: 'ran'}
	| {readonly type: 'not-run'; readonly reason: NotRunReason}
	| {readonly type: 'unknown'; readonly reason: UnknownReason};

/** Reasons that come with a `Retry-After`: coming back makes sense. */
const transientReasons: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
	'route-inactive',
	'not-serving',
	'no-endpoint',
	'connection-refused',
	'draining',
	'worker-absent',
	'worker-shed',
	'worker-unreachable',
	'worker-replaced',
	'worker-stalled',
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
