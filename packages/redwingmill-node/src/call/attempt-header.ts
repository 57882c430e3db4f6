import {type GateCall, type KnownLimit} from 'redwingmill-core';

/** Details that the entry node sends to the gate along with the caller's request. */
export type AttemptHeader = {
	/** Unique identifier of the attempt. */
	readonly id: string;
	readonly service: string;
	/** Path of the route. Calls of one group are assumed to have similar run times. */
	readonly group: string;
	readonly rank: number;
	/** Milliseconds until the caller stops waiting. */
	readonly deadlineMs: number;
	/** Milliseconds until an answer becomes less useful; absent when only the deadline counts. */
	readonly targetMs?: number;
	/** Calling service, as named in the entry node's settings; absent when they name none. */
	readonly caller?: string;
	/** Ticket number; absent when the call has no ticket. */
	readonly ticket?: number;
	/** The only incarnation of the gate's node that may accept the request; absent when any may. */
	readonly incarnation?: number;
	/** Control addresses of the nodes whose workers crashed while they ran the call. */
	readonly crashedNodes: readonly string[];
	/** Limit that the worker has stated last, as far as the entry node knows. */
	readonly knownLimit?: KnownLimit;
};

const separator = ';';
const nodeSeparator = ',';
/** Position of the worker's identity among the fields after the nodes. */
const workerIndex = 6;

/**
 * Formats the header: its fields in a fixed order, separated by semicolons. The format is compact,
 * as every attempt carries the header.
 */
export function formatAttempt(attempt: AttemptHeader): string {
	const {id, service, group, rank, deadlineMs, targetMs, caller, ticket, incarnation} = attempt;
	const numbers = [rank, deadlineMs, targetMs, ticket, incarnation];
	const {knownLimit} = attempt;
	return [
		...[id, service, group, caller ?? '', attempt.crashedNodes.join(nodeSeparator)].map((text) =>
			encodeURIComponent(text),
		),
		...numbers.map((number) => (number === undefined ? '' : String(Math.floor(number)))),
		...(knownLimit ? [String(knownLimit.perSecond), encodeURIComponent(knownLimit.worker)] : []),
	].join(separator);
}

/** Parses the header. Returns undefined when the text is malformed. */
export function parseAttempt(text: string): AttemptHeader | undefined {
	try {
		return readAttempt(text);
	} catch {
		// The text has an invalid percent-encoding.
		return undefined;
	}
}

function readAttempt(text: string): AttemptHeader | undefined {
	const [id, service, group, caller, crashedNodes, ...parts] = text.split(separator);
	const [rank, deadlineMs, targetMs, ticket, incarnation, perSecond] = parts.map((part) =>
		toNumber(part),
	);
	const worker = parts.at(workerIndex);
	if (!id || service === undefined || rank === undefined || deadlineMs === undefined) {
		return undefined;
	}

	return {
		id: decodeURIComponent(id),
		service: decodeURIComponent(service),
		group: decodeURIComponent(group),
		rank,
		deadlineMs,
		targetMs,
		caller: caller === '' ? undefined : decodeURIComponent(caller),
		ticket,
		incarnation,
		crashedNodes: crashedNodes === '' ? [] : decodeURIComponent(crashedNodes).split(nodeSeparator),
		...(worker !== undefined &&
			perSecond !== undefined && {knownLimit: {worker: decodeURIComponent(worker), perSecond}}),
	};
}

/** Converts a call's times to milliseconds from `now`, as the header carries them. */
export function relativeTimes(
	{deadlineAt, targetAt}: Pick<GateCall, 'deadlineAt' | 'targetAt'>,
	now: number,
): Pick<AttemptHeader, 'deadlineMs' | 'targetMs'> {
	return {
		deadlineMs: Math.max(0, deadlineAt - now),
		targetMs: targetAt === undefined ? undefined : targetAt - now,
	};
}

function toNumber(text: string): number | undefined {
	const number = text === '' ? Number.NaN : Number(text);
	return Number.isFinite(number) ? number : undefined;
}
