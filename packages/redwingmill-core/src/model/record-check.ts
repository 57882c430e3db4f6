import {
	memberStatuses,
	workerStates,
	type Departure,
	type NodeRecord,
	type Worker,
} from './node-record.js';

/** Largest number of calls at once that a worker may announce. */
const maximumSlots = 65_535;
const maximumPort = 65_535;
/** Largest value of a 32-bit field of the datagrams that carry records. */
const maximumCount = 0xff_ff_ff_ff;
/** Limit of each text, so that a record fits into a datagram. */
const maximumTextLength = 256;
const knownStatuses: ReadonlySet<unknown> = new Set(memberStatuses);
const knownStates: ReadonlySet<unknown> = new Set(workerStates);
const addressPattern = /^(?<host>[\w.\-]{1,253}):(?<port>\d{1,5})$/v;

/** Whether a value is an address as `host:port`, with a port that can be connected to. */
function isNetworkAddress(value: unknown): value is string {
	const port = typeof value === 'string' ? addressPattern.exec(value)?.groups?.port : undefined;
	return port !== undefined && Number(port) > 0 && Number(port) <= maximumPort;
}

/**
 * Returns the faults of a value that another process has written in place of a node's record; none if the
 * value is a record that can be used, kept and passed on.
 */
export function faultsOfRecord(value: unknown): readonly string[] {
	const fields = (value ?? {}) as Partial<Record<keyof NodeRecord, unknown>>;
	const {worker} = fields;
	return [
		...faultsOf([
			['address', isNetworkAddress(fields.address), 'host:port'],
			['gateAddress', isNetworkAddress(fields.gateAddress), 'host:port'],
			['dataCentre', isText(fields.dataCentre), textRule],
			['incarnation', isCount(fields.incarnation, Number.MAX_SAFE_INTEGER), countRule],
			['revision', isCount(fields.revision, maximumCount), countRule],
			['status', knownStatuses.has(fields.status), 'a known status'],
			['linkMbps', isOptional(fields.linkMbps, (link) => isCount(link, maximumCount)), countRule],
			['departed', isOptional(fields.departed, areDepartures), 'a list of departures'],
		]),
		...(worker === undefined ? [] : faultsOfWorker(worker).map((fault) => `worker.${fault}`)),
	];
}

/** Returns the faults of a value in place of a worker, as announced or as part of a record. */
export function faultsOfWorker(value: unknown): readonly string[] {
	const fields = (value ?? {}) as Partial<Record<keyof Worker, unknown>>;
	return faultsOf([
		['service', isText(fields.service), textRule],
		['address', isNetworkAddress(fields.address), 'host:port'],
		['slots', isCount(fields.slots, maximumSlots), countRule],
		['state', knownStates.has(fields.state), 'a known state'],
		['instance', isOptional(fields.instance, isText), textRule],
		[
			'startedAt',
			isOptional(fields.startedAt, (time) => isCount(time, Number.MAX_SAFE_INTEGER)),
			countRule,
		],
		['version', isOptional(fields.version, isText), textRule],
	]);
}

const textRule = `a text of at most ${maximumTextLength} characters`;
const countRule = 'a whole number within its range';

function faultsOf(
	checks: ReadonlyArray<readonly [field: string, isSound: boolean, rule: string]>,
): readonly string[] {
	return checks.flatMap(([field, isSound, rule]) =>
		isSound ? [] : [`${field}: expected ${rule}`],
	);
}

function isOptional(value: unknown, isSound: (value: unknown) => boolean): boolean {
	return value === undefined || isSound(value);
}

function areDepartures(value: unknown): boolean {
	return (
		Array.isArray(value) &&
		value.every((each: Partial<Record<keyof Departure, unknown>> | null) => {
			const {instance, startedAt} = each ?? {};
			return isText(instance) && isCount(startedAt, Number.MAX_SAFE_INTEGER);
		})
	);
}

function isText(value: unknown): boolean {
	return typeof value === 'string' && value.length <= maximumTextLength;
}

function isCount(value: unknown, maximum: number): boolean {
	return Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= maximum;
}
