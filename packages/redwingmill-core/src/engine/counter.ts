/** Counters of refusals, failures and retries in the control plane. */
export const counters = [
	'version-older',
	'version-conflicting',
	'version-refused',
	'text-corrupt',
	'registration-deferred',
	'registration-redirected',
	'link-failed',
	'link-silent',
	'member-lapsed',
	'mass-lapse-doubted',
	'claim-conflict',
	'write-conflict',
	'write-failed',
	'write-unknown',
	'read-failed',
	'pause-detected',
	'self-refuted',
] as const;
export type Counter = (typeof counters)[number];
