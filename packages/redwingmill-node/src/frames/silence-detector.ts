/** What to do about a connection. */
export type SilenceAction = 'none' | 'ping' | 'close';

/** Checks without a byte, while a response is awaited, before a ping. */
const checksBeforePing = 3;
/** Checks without a byte after a ping before the connection counts as silent. */
const checksAfterPing = 7;

/**
 * Decides when a connection on which a response is awaited no longer works. It counts checks and not
 * time, as a process that was held up has not read what arrived meanwhile.
 */
export class SilenceDetector {
	#checks = 0;
	#hasPinged = false;

	onReceived(): void {
		this.#checks = 0;
		this.#hasPinged = false;
	}

	/** @param isAwaiting - whether the other side owes a response. */
	check(isAwaiting: boolean): SilenceAction {
		if (!isAwaiting && !this.#hasPinged) {
			this.#checks = 0;
			return 'none';
		}

		this.#checks += 1;
		if (this.#hasPinged) {
			return this.#checks > checksAfterPing ? 'close' : 'none';
		}

		if (this.#checks < checksBeforePing) {
			return 'none';
		}

		this.#hasPinged = true;
		this.#checks = 0;
		return 'ping';
	}
}
