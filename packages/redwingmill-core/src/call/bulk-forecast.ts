import {type GateCall} from './gate-call.js';
import {GroupMeans} from './group-means.js';

/** Link over which a host sends responses. */
export type ResponseLink = {
	/** Returns the time in milliseconds that a response takes on the link. */
	readonly transferMs: (bytes: number) => number;
	/** Returns the expected time in milliseconds until a new response could be sent. */
	readonly expectedWaitMs: (now: number) => number;
};

/** Size of a bulk response that is assumed until the first one was seen. */
const initialBytes = 90_000;

/** Estimates how long bulk responses wait for the host's link; without a link they don't. */
export class BulkForecast {
	readonly #link: ResponseLink | undefined;
	readonly #bytes = new GroupMeans(initialBytes);

	constructor(link: ResponseLink | undefined) {
		this.#link = link;
	}

	/** Records the size of a response. */
	onAnswered({isBulk = false, group}: GateCall, bytes: number): void {
		if (isBulk) {
			this.#bytes.record(group, bytes);
		}
	}

	/** Returns the expected time that the response of a call takes on the link; 0 unless it is a bulk call. */
	transferMs({isBulk = false, group}: Pick<GateCall, 'isBulk' | 'group'>): number {
		return isBulk && this.#link ? this.#link.transferMs(this.#bytes.expected(group)) : 0;
	}

	/**
	 * Returns the expected time until the link is free for another bulk response.
	 *
	 * @param calls - calls whose responses are still to be sent.
	 */
	waitMs(calls: Iterable<GateCall>, now: number): number {
		let waitMs = this.#link?.expectedWaitMs(now) ?? 0;
		for (const call of calls) {
			waitMs += this.transferMs(call);
		}

		return waitMs;
	}
}
