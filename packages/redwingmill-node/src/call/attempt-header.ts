import {type CallWorkspace, type GateCall, type KnownLimit} from 'redwingmill-core';

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
	/** Workspace of the caller; absent when the call needs none. */
	readonly workspace?: CallWorkspace;
	/** Whether the answer is so large that it is scheduled by the host's link. */
	readonly isBulk?: boolean;
};

const separator = ';';
const nodeSeparator = ',';
/** Positions of texts among the fields after the nodes. */
const workerIndex = 6;
const workspaceIndex = 7;
const bulkFlag = '1';

/**
 * Formats the header: its fields in a fixed order, separated by semicolons. The format is compact,
 * as every attempt carries the header.
 */
export function formatAttempt(attempt: AttemptHeader): string {
	const {id, service, group, rank, deadlineMs, targetMs, caller, ticket, incarnation} = attempt;
	const numbers = [rank, deadlineMs, targetMs, ticket, incarnation];
	const {knownLimit, workspace, isBulk = false} = attempt;
	const limitFields = [
		knownLimit === undefined ? '' : String(knownLimit.perSecond),
		encodeURIComponent(knownLimit?.worker ?? ''),
	];
	const workspaceFields = [
		encodeURIComponent(workspace?.name ?? ''),
		String(workspace?.rank ?? ''),
		isBulk ? bulkFlag : '',
	];
	const hasWorkspaceFields = workspace !== undefined || isBulk;
	return [
		...[id, service, group, caller ?? '', attempt.crashedNodes.join(nodeSeparator)].map((text) =>
			encodeURIComponent(text),
		),
		...numbers.map((number) => (number === undefined ? '' : String(Math.floor(number)))),
		...(knownLimit !== undefined || hasWorkspaceFields ? limitFields : []),
		...(hasWorkspaceFields ? workspaceFields : []),
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
	const numbers = parts.map((part) => toNumber(part));
	const [rank, deadlineMs, targetMs, ticket, incarnation, perSecond] = numbers;
	const worker = parts.at(workerIndex);
	const workspace = parts.at(workspaceIndex);
	const workspaceRank = numbers.at(workspaceIndex + 1);
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
		...(workspace !== undefined &&
			workspaceRank !== undefined && {
				workspace: {name: decodeURIComponent(workspace), rank: workspaceRank},
			}),
		...(parts.at(workspaceIndex + 2) === bulkFlag && {isBulk: true}),
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
