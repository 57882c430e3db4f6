import {type Teardown} from 'redwingmill-shared';
import {type Log} from './log.js';
import {logEvents} from './log-event.js';

/** Emits `uncaughtException` and `unhandledRejection`, as `process` does. */
export type ErrorSource = {
	on: (event: ErrorEvent, listener: (error: unknown) => void) => unknown;
	off: (event: ErrorEvent, listener: (error: unknown) => void) => unknown;
};

type ErrorEvent = 'uncaughtException' | 'unhandledRejection';

/** Number of unexpected errors within {@link burstWindowMs} after which the state can't be trusted. */
const burstErrors = 20;
const burstWindowMs = 10_000;
const maximumStackCharacters = 2000;

/** Decides whether a process with unexpected errors goes on. */
export class ErrorBurst {
	#errorsAt: readonly number[] = [];

	/**
	 * Records an error.
	 *
	 * @param now - monotonic milliseconds.
	 * @returns whether there were too many of late.
	 */
	record(now: number): boolean {
		this.#errorsAt = [...this.#errorsAt.filter((at) => now - at < burstWindowMs), now];
		return this.#errorsAt.length > burstErrors;
	}
}

/**
 * Keeps a process running after an error that nothing has handled, such as one in the handling of a
 * single message, and logs it. When such errors don't stop, `onBurst` is called to end the process: it
 * starts again with a state that is known.
 */
export function registerErrorGuard(source: ErrorSource, log: Log, onBurst: () => void): Teardown {
	const burst = new ErrorBurst();
	const handle = (error: unknown) => {
		const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
		log.write(logEvents.unexpectedError, {error: text.slice(0, maximumStackCharacters)});
		if (burst.record(performance.now())) {
			log.write(logEvents.unexpectedErrorBurst);
			onBurst();
		}
	};

	source.on('uncaughtException', handle);
	source.on('unhandledRejection', handle);
	return () => {
		source.off('uncaughtException', handle);
		source.off('unhandledRejection', handle);
	};
}
