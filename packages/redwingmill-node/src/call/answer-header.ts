import {
	notRunReasons,
	unknownReasons,
	type GateAnswer,
	type Outcome,
	type WorkerLoad,
} from 'redwingmill-core';

/** Details that the gate sends to the entry node along with the worker's response. */
export type AnswerHeader = Omit<GateAnswer<unknown>, 'payload' | 'isRetried'>;

const separator = ';';
const decimals = 2;

/** Formats the header: its fields in a fixed order, separated by semicolons. */
export function formatAnswer({outcome, retryAfterMs, ranMs, load}: AnswerHeader): string {
	const {callsPerSlot, waitMs, runMs, failureShare} = load ?? {};
	const numbers = [retryAfterMs, ranMs, callsPerSlot, waitMs, runMs, failureShare];
	return [
		outcome.type,
		outcome.type === 'ran' ? '' : outcome.reason,
		...numbers.map((number) =>
			number === undefined ? '' : String(Number(number.toFixed(decimals))),
		),
	].join(separator);
}

/** Parses the header. An invalid outcome is read as `unknown`, as the call may have run. */
export function parseAnswer(text: string): AnswerHeader {
	const [type, reason, ...parts] = text.split(separator);
	const [retryAfterMs, ranMs, callsPerSlot, waitMs, runMs, failureShare = 0] = parts.map((part) =>
		part === '' ? undefined : Number(part),
	);
	const load: WorkerLoad | undefined =
		callsPerSlot === undefined || waitMs === undefined || runMs === undefined
			? undefined
			: {callsPerSlot, waitMs, runMs, failureShare};
	return {outcome: toOutcome(type, reason), retryAfterMs, ranMs, load};
}

function toOutcome(type: string, reason: string): Outcome {
	switch (type) {
		case 'ran': {
			return {type: 'ran'};
		}

		case 'not-run': {
			const known = notRunReasons.find((each) => each === reason);
			return known ? {type: 'not-run', reason: known} : {type: 'unknown', reason: 'gate-gone'};
		}

		default: {
			const known = unknownReasons.find((each) => each === reason);
			return {type: 'unknown', reason: known ?? 'gate-gone'};
		}
	}
}
