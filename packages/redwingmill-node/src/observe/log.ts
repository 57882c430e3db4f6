import {TokenBucket} from 'redwingmill-shared';
import {logLevels, type Settings} from '../settings/settings.js';
import {logEvents, type LogEvent} from './log-event.js';
import {NonBlockingStdout} from './non-blocking-stdout.js';

/** Fields of a log line in addition to the event's number, level and message. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Receives complete lines, each with its line end. */
export type LineSink = Pick<NonBlockingStdout, 'enqueue' | 'takeDroppedCount'>;

/** Rate and burst limits of the lines on single calls. Further lines are only counted. */
const callLinesPerSecond = 100;
const callLinesBurst = 400;
/** Additional burst for calls that didn't run or whose outcome is unknown. */
const failureLinesBurst = 200;
const dropReportIntervalMs = 5000;

/** Writes numbered events to standard output without blocking on its reader. */
export class Log {
	readonly #sink: LineSink;
	readonly #lowestRank: number;
	readonly #isText: boolean;
	readonly #commonFields: LogFields;
	readonly #callLineBudget = new TokenBucket(callLinesBurst, callLinesPerSecond, performance.now());
	readonly #failureLineBudget = new TokenBucket(
		failureLinesBurst,
		callLinesPerSecond,
		performance.now(),
	);

	#skippedLines = 0;
	#dropsReportedAt = 0;

	constructor({log, dataCentre, addresses}: Settings, sink: LineSink = new NonBlockingStdout()) {
		this.#sink = sink;
		this.#lowestRank = logLevels.indexOf(log.level);
		this.#isText = log.format === 'text';
		this.#commonFields = {dataCentre, node: addresses.control};
	}

	write(event: LogEvent, fields: LogFields = {}): void {
		if (logLevels.indexOf(event.level) <= this.#lowestRank) {
			this.#sink.enqueue(this.#format(event, fields));
		}
	}

	/** Writes the line of a call, within the rate limits. Failures have an additional allowance. */
	writeCall(event: LogEvent, isFailure: boolean, fields: () => LogFields): void {
		const now = performance.now();
		const isAllowed =
			this.#callLineBudget.take(now) || (isFailure && this.#failureLineBudget.take(now));
		if (isAllowed) {
			this.write(event, fields());
		} else {
			this.#skippedLines += 1;
		}

		this.#reportDrops(now);
	}

	#format({number, level, message}: LogEvent, fields: LogFields): string {
		const timestamp = new Date().toISOString();
		const details = {event: number, ...this.#commonFields, ...fields};
		return this.#isText
			? `${timestamp} ${level} ${message} ${JSON.stringify(details)}\n`
			: `${JSON.stringify({timestamp, level, message, ...details})}\n`;
	}

	#reportDrops(now: number): void {
		if (now - this.#dropsReportedAt < dropReportIntervalMs) {
			return;
		}

		const dropped = this.#sink.takeDroppedCount();
		this.#dropsReportedAt = now;
		if (dropped + this.#skippedLines > 0) {
			this.write(logEvents.linesDropped, {skipped: this.#skippedLines, dropped});
			this.#skippedLines = 0;
		}
	}
}
