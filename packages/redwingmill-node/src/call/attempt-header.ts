import {type GateCall} from 'redwingmill-core';

/** What goes with a call from the entry node to the gate, besides the caller's own request. */
export type AttemptHeader = {
	/** Unique name of the attempt. */
	readonly id: string;
	readonly service: string;
	readonly group: string;
	readonly rank: number;
	/** Milliseconds until the caller stops waiting. */
	readonly deadlineMs: number;
	/** Milliseconds until an answer is worth less; absent when only the deadline counts. */
	readonly targetMs?: number;
	/** Service whose host the call came from; absent when the node has none. */
	readonly caller?: string;
	/** Number of a ticket, with the incarnation of the gate that gave it out. */
	readonly ticket?: number;
	readonly incarnation?: number;
	/** Nodes whose workers died of the call. */
	readonly crashedNodes: readonly string[];
};

const separator = ';';
const nodeSeparator = ',';

/** Text of the header: its fields in a fixed order. One short header, as it is sent with each call. */
export function formatAttempt(attempt: AttemptHeader): string {
	const {id, service, group, rank, deadlineMs, targetMs, caller, ticket, incarnation} = attempt;
	const numbers = [rank, deadlineMs, targetMs, ticket, incarnation];
	return [
		...[id, service, group, caller ?? '', attempt.crashedNodes.join(nodeSeparator)].map((text) =>
			encodeURIComponent(text),
		),
		...numbers.map((number) => (number === undefined ? '' : String(Math.floor(number)))),
	].join(separator);
}

/** The header, or undefined when the text isn't one. */
export function parseAttempt(text: string): AttemptHeader | undefined {
	try {
		return readAttempt(text);
	} catch {
		// A text that isn't encoded as a header is none.
		return undefined;
	}
}

function readAttempt(text: string): AttemptHeader | undefined {
	const [id, service, group, caller, crashedNodes, ...numbers] = text.split(separator);
	const [rank, deadlineMs, targetMs, ticket, incarnation] = numbers.map((part) => toNumber(part));
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
	};
}

/** Headers' form of a call's times, counted from `now`. */
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
