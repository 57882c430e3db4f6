import {TokenBucket} from 'redwingmill-shared';
import {createLogger, format, transports, type Logger} from 'winston';
import {type Settings} from '../settings/settings.js';
import {logEvents, type LogEvent} from './log-event.js';
import {NonBlockingStdout} from './non-blocking-stdout.js';

/** Fields of a log line in addition to the event's number, level and message. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Rate and burst limits of the lines on single calls. Further lines are only counted. */
const callLinesPerSecond = 100;
const callLinesBurst = 400;
/** Additional burst for calls that didn't run or whose outcome is unknown. */
const failureLinesBurst = 200;
const dropReportIntervalMs = 5000;

/** Writes numbered events to standard output without blocking on its reader. */
export class Log {
	readonly #logger: Logger;
	readonly #stdout = new NonBlockingStdout();
	readonly #callLineBudget = new TokenBucket(callLinesBurst, callLinesPerSecond, performance.now());
	readonly #failureLineBudget = new TokenBucket(
		failureLinesBurst,
		callLinesPerSecond,
		performance.now(),
	);

	#skippedLines = 0;
	#dropsReportedAt = 0;

	constructor({log, dataCentre, addresses}: Settings) {
		const textFormat = format.printf(
			({timestamp, level, message, ...fields}) =>
				`${String(timestamp)} ${level} ${String(message)} ${JSON.stringify(fields)}`,
		);
		this.#logger = createLogger({
			level: log.level,
			format: format.combine(
				format.timestamp(),
				log.format === 'json' ? format.json() : textFormat,
			),
			defaultMeta: {dataCentre, node: addresses.control},
			transports: [new transports.Stream({stream: this.#stdout})],
		});
	}

	write({number, level, message}: LogEvent, fields: LogFields = {}): void {
		this.#logger.log({level, message, event: number, ...fields});
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

	#reportDrops(now: number): void {
		if (now - this.#dropsReportedAt < dropReportIntervalMs) {
			return;
		}

		const dropped = this.#stdout.takeDroppedCount();
		this.#dropsReportedAt = now;
		if (dropped + this.#skippedLines > 0) {
			this.write(logEvents.linesDropped, {skipped: this.#skippedLines, dropped});
			this.#skippedLines = 0;
		}
	}
}
