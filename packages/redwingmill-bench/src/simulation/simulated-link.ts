import {LinkScheduler} from 'redwingmill-core';
import {type VirtualClock} from './virtual-clock.js';

/** Responses up to this size are sent at once, as by a node. */
const smallBytes = 32 * 1024;

type Sending = {
	remainingBytes: number;
	readonly onSent: () => void;
};

/** Link of a host: responses share its bandwidth equally, whether they are sent in turn or all at once. */
export class SimulatedLink {
	readonly scheduler: LinkScheduler;
	readonly #clock: VirtualClock;
	readonly #bytesPerMs: number;
	readonly #sendsInTurn: boolean;
	readonly #writers = new Map<number, () => void>();
	#sending: readonly Sending[] = [];
	#updatedAt = 0;
	#changes = 0;

	constructor(clock: VirtualClock, linkMbps: number, sendsInTurn: boolean) {
		this.#clock = clock;
		this.#bytesPerMs = 1 / new LinkScheduler(linkMbps).transferMs(1);
		this.#sendsInTurn = sendsInTurn;
		this.scheduler = new LinkScheduler(linkMbps);
	}

	/** Sends a response; `onSent` is called when its last byte has left. */
	send(
		bytes: number,
		times: {readonly dueAt: number; readonly deadlineAt: number},
		onSent: () => void,
	): void {
		if (!this.#sendsInTurn || bytes <= smallBytes) {
			this.#transmit(bytes, onSent);
			return;
		}

		const id = this.scheduler.add({bytes, ...times});
		this.#writers.set(id, () => {
			this.#transmit(bytes, () => {
				this.scheduler.onTaken(id);
				onSent();
				this.#sendDue();
			});
		});
		this.#sendDue();
	}

	#sendDue(): void {
		for (const id of this.scheduler.takeDue(this.#clock.now)) {
			this.#writers.get(id)?.();
			this.#writers.delete(id);
		}

		const {wakeAt} = this.scheduler;
		if (wakeAt !== undefined) {
			this.#clock.after(Math.max(1, wakeAt - this.#clock.now), () => {
				this.#sendDue();
			});
		}
	}

	#transmit(bytes: number, onSent: () => void): void {
		this.#update();
		this.#sending = [...this.#sending, {remainingBytes: bytes, onSent}];
		this.#scheduleNext();
	}

	/** Advances all responses that are being sent to the present. */
	#update(): void {
		const {now} = this.#clock;
		const share = ((now - this.#updatedAt) * this.#bytesPerMs) / Math.max(1, this.#sending.length);
		for (const each of this.#sending) {
			each.remainingBytes -= share;
		}

		this.#updatedAt = now;
	}

	#scheduleNext(): void {
		this.#changes += 1;
		const change = this.#changes;
		if (this.#sending.length === 0) {
			return;
		}

		const least = Math.min(...this.#sending.map(({remainingBytes}) => remainingBytes));
		const delayMs = (Math.max(0, least) * this.#sending.length) / this.#bytesPerMs;
		this.#clock.after(delayMs, () => {
			if (change === this.#changes) {
				this.#finish();
			}
		});
	}

	#finish(): void {
		this.#update();
		const ended = this.#sending.filter(({remainingBytes}) => remainingBytes < 1);
		this.#sending = this.#sending.filter(({remainingBytes}) => remainingBytes >= 1);
		this.#scheduleNext();
		for (const {onSent} of ended) {
			onSent();
		}
	}
}
