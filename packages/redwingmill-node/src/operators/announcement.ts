import {workerStates, type Worker, type WorkerState} from 'redwingmill-core';

const addressPattern = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v;
const servicePattern = /^[a-z][a-z\d\-]{0,62}$/v;
const maximumSlots = 10_000;

/** Parses and validates a worker's announcement. Returns undefined if it is invalid. */
export function parseAnnouncement(text: string): Worker | undefined {
	const value = parseJson(text);
	if (value === undefined) {
		return undefined;
	}

	const {service, address, slots, state} = value;
	const isValid =
		isMatch(service, servicePattern) &&
		isMatch(address, addressPattern) &&
		Number.isSafeInteger(slots) &&
		(slots as number) >= 1 &&
		(slots as number) <= maximumSlots &&
		workerStates.includes(state as WorkerState);
	return isValid ? (value as Worker) : undefined;
}

function parseJson(text: string): Partial<Record<keyof Worker, unknown>> | undefined {
	try {
		const value: unknown = JSON.parse(text);
		return typeof value === 'object' && value !== null ? value : undefined;
	} catch {
		return undefined;
	}
}

function isMatch(value: unknown, pattern: RegExp): value is string {
	return typeof value === 'string' && pattern.test(value);
}
