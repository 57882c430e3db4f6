import {type VirtualClock} from './virtual-clock.js';

/** The part of a host's processor that its node may use: runs work in the order in which it arrives. */
export class SimulatedProcessor {
	readonly #clock: VirtualClock;
	readonly #share: number;
	#freeAt = 0;
	#busyMs = 0;

	/** @param share - part of a core that the node may use. */
	constructor(clock: VirtualClock, share: number) {
		this.#clock = clock;
		this.#share = share;
	}

	/** Time in milliseconds for which it has been busy, or will be with the work that waits. */
	get busyMs(): number {
		return this.#busyMs;
	}

	/**
	 * Runs something once the work before it and its own are done.
	 *
	 * @param workMs - processor time of a whole core, in milliseconds.
	 */
	run(workMs: number, run: () => void): void {
		const {now} = this.#clock;
		const tookMs = workMs / this.#share;
		this.#freeAt = Math.max(now, this.#freeAt) + tookMs;
		this.#busyMs += tookMs;
		this.#clock.after(this.#freeAt - now, run);
	}
}
