import {
	notRunReasons,
	unknownReasons,
	type Allowance,
	type GateAnswer,
	type Outcome,
	type ReportedNotice,
	type WorkerLoad,
} from 'redwingmill-core';

/** Details that the gate sends to the entry node along with the worker's response. */
export type AnswerHeader = Omit<GateAnswer<unknown>, 'payload' | 'isRetried'>;

const separator = ';';
const decimals = 2;
/** Number of fields of an answer whose worker states no limit, doesn't leave and reports no load. */
const basicFieldCount = 8;
/** Positions among the fields after the notice. */
const hostTimeIndex = 2;
const heldIndex = 3;

/**
 * Formats the header: its fields in a fixed order, separated by semicolons. Fields at the end that are absent
 * are left out.
 */
export function formatAnswer(answer: AnswerHeader): string {
	const {outcome, retryAfterMs, ranMs, load, notice, heldMs} = answer;
	const {callsPerSlot, waitMs, runMs, failureShare, allowance, hostTime} = load ?? {};
	const numbers = [retryAfterMs, ranMs, callsPerSlot, waitMs, runMs, failureShare];
	const fields = [
		outcome.type,
		outcome.type === 'ran' ? '' : outcome.reason,
		...numbers.map((number) => formatNumber(number)),
	];
	const hasLaterFields = hostTime !== undefined || heldMs !== undefined;
	if (notice !== undefined || allowance !== undefined || hasLaterFields) {
		fields.push(
			encodeURIComponent(notice?.worker ?? ''),
			formatNumber(notice?.limitPerSecond),
			notice?.isLeaving ? '1' : '',
			formatNumber(allowance?.perSecond),
			formatNumber(allowance?.waitMs),
		);
	}

	if (hasLaterFields) {
		fields.push(formatNumber(hostTime));
	}

	if (heldMs !== undefined) {
		fields.push(formatNumber(heldMs));
	}

	return fields.join(separator);
}

/** Parses the header. An invalid outcome is read as `unknown`, as the call may have run. */
export function parseAnswer(text: string): AnswerHeader {
	const fields = text.split(separator);
	const [type, reason, ...parts] = fields.slice(0, basicFieldCount);
	const [retryAfterMs, ranMs, callsPerSlot, waitMs, runMs, failureShare = 0] = parts.map((part) =>
		parseNumber(part),
	);
	const [worker, limitPerSecond, isLeaving, ...loadParts] = fields.slice(basicFieldCount);
	const allowance = parseAllowance(loadParts);
	const hostTime = parseNumber(loadParts.at(hostTimeIndex));
	const load: WorkerLoad | undefined =
		callsPerSlot === undefined || waitMs === undefined || runMs === undefined
			? undefined
			: {
					callsPerSlot,
					waitMs,
					runMs,
					failureShare,
					...(allowance && {allowance}),
					...(hostTime !== undefined && hostTime > 0 && {hostTime}),
				};
	const identity = decode(worker ?? '');
	const notice: ReportedNotice | undefined = identity
		? {
				worker: identity,
				limitPerSecond: parseNumber(limitPerSecond),
				isLeaving: isLeaving === '1',
			}
		: undefined;
	const heldMs = parseNumber(loadParts.at(heldIndex));
	return {
		outcome: toOutcome(type, reason),
		retryAfterMs,
		ranMs,
		load,
		...(notice && {notice}),
		...(heldMs !== undefined && {heldMs}),
	};
}

function parseAllowance(parts: readonly string[]): Allowance | undefined {
	const [perSecond, waitMs] = parts.map((part) => parseNumber(part));
	return perSecond !== undefined && perSecond > 0 && waitMs !== undefined
		? {perSecond, waitMs}
		: undefined;
}

function formatNumber(number: number | undefined): string {
	return number === undefined ? '' : String(Number(number.toFixed(decimals)));
}

function parseNumber(part: string | undefined): number | undefined {
	const number = part === undefined || part === '' ? Number.NaN : Number(part);
	return Number.isFinite(number) ? number : undefined;
}

/** Decodes a field; a malformed one is read as empty. */
function decode(field: string): string {
	try {
		return decodeURIComponent(field);
	} catch {
		return '';
	}
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
