import {setTimeout as delay} from 'node:timers/promises';
import {type ConfigurationReply} from './configuration-history.js';
import {type ConfigurationReadResult} from './store-ports.js';

/** Ways to a configuration, and what is done with one. The functions don't reject. */
export type FetchPorts = {
	/** Reads the store's configuration, as it was some seconds ago. */
	readonly readStore: (signal: AbortSignal) => Promise<ConfigurationReadResult>;
	/** Asks another node for its configuration, or for the patch to it from version `since`. */
	readonly askNode: (gateAddress: string, since?: number) => Promise<ConfigurationReply>;
	/** Returns whether the source is a valid configuration. */
	readonly applySource: (source: unknown) => boolean;
	/** Returns whether the reply contains a valid configuration. */
	readonly applyReply: (reply: ConfigurationReply) => boolean;
};

/** Many times what the store usually takes to answer. */
const storeHeadStartMs = 100;

/**
 * Fetches configurations that other nodes have announced. A whole one may fill a narrow link for a
 * second, so only one is fetched at a time: several beside each other would all time out.
 */
export class ConfigurationFetcher {
	readonly #ports: FetchPorts;
	#isFetchingWhole = false;

	constructor(ports: FetchPorts) {
		this.#ports = ports;
	}

	/** @param since - version held, to which a patch suffices; undefined if there is none. */
	async fetch(gateAddress: string, since: number | undefined): Promise<void> {
		const {askNode, applyReply} = this.#ports;
		if (since !== undefined) {
			applyReply(await askNode(gateAddress, since));
			return;
		}

		if (this.#isFetchingWhole) {
			return;
		}

		this.#isFetchingWhole = true;
		try {
			await this.#fetchWhole(gateAddress);
		} finally {
			this.#isFetchingWhole = false;
		}
	}

	/**
	 * Reads the store first: its link is wider than those of the nodes, of which many may start at once.
	 * A store that hasn't answered soon isn't waited for. The version read may be older than the one
	 * announced, to which a patch follows.
	 */
	async #fetchWhole(gateAddress: string): Promise<void> {
		const {readStore, askNode, applySource, applyReply} = this.#ports;
		const abandoned = new AbortController();
		const reading = readStore(abandoned.signal);
		const early = await Promise.race([reading, delay(storeHeadStartMs)]);
		if (early?.type === 'found' && applySource(early.source)) {
			return;
		}

		const asking = askNode(gateAddress);
		const first = await Promise.race([asking, reading]);
		if (first.type === 'found' && applySource(first.source)) {
			return;
		}

		if (applyReply(await asking)) {
			abandoned.abort();
			return;
		}

		const late = await reading;
		if (late.type === 'found') {
			applySource(late.source);
		}
	}
}
