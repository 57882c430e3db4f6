import {type Worker} from '../model/node-record.js';
import {type StatedLoad} from './worker-report.js';

/** Limit on the requests that a worker takes from all nodes together, as one response states it. */
export type StatedLimit =
	| {readonly type: 'none'}
	| {readonly type: 'stated'; readonly perSecond: number}
	| {readonly type: 'malformed'; readonly text: string};

/** What a worker says of itself in a response, whatever it answers the call. */
export type WorkerNotice = {
	readonly limit: StatedLimit;
	/** Whether the worker is about to stop. */
	readonly isLeaving: boolean;
	/** Absent when the response states none. */
	readonly load?: StatedLoad;
};

/** Notice of a response that says nothing of the worker. */
export const emptyNotice: WorkerNotice = {limit: {type: 'none'}, isLeaving: false};

/** A decimal number without a sign or an exponent; longer ones are no rate of any worker. */
const decimalPattern = /^\d{1,9}(?:\.\d{1,9})?$/v;

/**
 * Parses the value of a header that states a limit.
 *
 * @param value - absent when the response has no such header; a list when it has several.
 */
export function parseStatedLimit(value: string | readonly string[] | undefined): StatedLimit {
	if (value === undefined) {
		return {type: 'none'};
	}

	const text = typeof value === 'string' ? value.trim() : value.join(', ');
	return decimalPattern.test(text)
		? {type: 'stated', perSecond: Number(text)}
		: {type: 'malformed', text};
}

/**
 * Returns what tells a worker process from all others, also from an earlier one with the same name or
 * address; undefined for a worker that announces no instance.
 */
export function workerIdentityOf({instance, startedAt}: Worker): string | undefined {
	return instance === undefined ? undefined : `${instance}/${startedAt ?? ''}`;
}
