import {RateMeter} from './rate-meter.js';
import {type QuotaGrant, type QuotaUse} from './quota-message.js';

/** Time over which a node's demand for a workspace is averaged. */
const demandTimeConstantMs = 2000;

/** What a server knows of a workspace's calls at one node. */
export class NodeUse {
	/** Last grant, and when it was sent; undefined if none was. */
	granted: {readonly grant: QuotaGrant; readonly at: number} | undefined;
	/** Calls counted for the node while it is silent, until it reports. */
	reserved = 0;
	readonly #demand: RateMeter;
	#incarnation = 0;
	#sequence = 0;
	#epoch = 0;
	#asked = 0;
	#admitted = 0;

	constructor(now: number) {
		this.#demand = new RateMeter(demandTimeConstantMs, now);
	}

	get epoch(): number {
		return this.#epoch;
	}

	get admitted(): number {
		return this.#admitted;
	}

	/**
	 * Returns how many calls were asked for and admitted since the last report, less what was set aside
	 * for a silent node; undefined for an old report.
	 */
	onUse(
		use: QuotaUse,
		{incarnation, sequence}: {readonly incarnation: number; readonly sequence: number},
		now: number,
	): {readonly asked: number; readonly admitted: number} | undefined {
		const isSame = incarnation === this.#incarnation && use.epoch === this.#epoch;
		const isOld =
			incarnation < this.#incarnation ||
			(incarnation === this.#incarnation && sequence <= this.#sequence);
		if (isOld) {
			return undefined;
		}

		const asked = Math.max(0, use.asked - (isSame ? this.#asked : 0));
		// A node that begins to count anew may have reported to another server what it used meanwhile.
		const admitted = use.admitted - (isSame ? this.#admitted + this.reserved : 0);
		this.reserved = 0;
		this.#incarnation = incarnation;
		this.#sequence = sequence;
		this.#epoch = use.epoch;
		this.#asked = use.asked;
		this.#admitted = use.admitted;
		this.#demand.record(asked, now);
		return {asked, admitted};
	}

	demandPerSecond(now: number): number {
		return this.#demand.perSecond(now);
	}
}
