const bytesPerKib = 1024;
const bytesPerMib = 1024 * 1024;

/** Bounds the bytes of messages that are received beside each other. */
export class ByteBudget {
	readonly #limitBytes: number;
	readonly #alwaysReceivedBytes: number;
	#reservedBytes = 0;

	/**
	 * @param alwaysReceivedBytes - size up to which a message is received in any case, so that a few large ones
	 * don't shut out the others.
	 */
	constructor(limitBytes: number, alwaysReceivedBytes: number) {
		this.#limitBytes = limitBytes;
		this.#alwaysReceivedBytes = alwaysReceivedBytes;
	}

	/**
	 * Counts bytes of a message, whether or not there is room for them. Returns whether there is. A message
	 * that is received alone has the limit of its kind only.
	 *
	 * @param messageBytes - bytes of the message so far, including these.
	 */
	reserve(bytes: number, messageBytes: number): boolean {
		this.#reservedBytes += bytes;
		return (
			this.#reservedBytes <= this.#limitBytes ||
			this.#reservedBytes === messageBytes ||
			messageBytes <= this.#alwaysReceivedBytes
		);
	}

	/** Gives back what was reserved for a message. */
	release(bytes: number): void {
		this.#reservedBytes -= bytes;
	}
}

/** Responses of workers and of the store. */
export const responseBudget = new ByteBudget(4 * bytesPerMib, bytesPerMib);
/** Responses of other nodes, each of which has bounded what it received from its worker. */
export const peerResponseBudget = new ByteBudget(24 * bytesPerMib, bytesPerMib);
/** Bodies of callers' requests. */
export const requestBudget = new ByteBudget(16 * bytesPerMib, 64 * bytesPerKib);
