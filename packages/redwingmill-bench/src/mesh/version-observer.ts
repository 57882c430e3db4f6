/** Log entry of a node that put a version in force. */
export type Activation = {
	readonly node: string;
	readonly version: number;
	/** Time stamp of the log entry, in milliseconds since the epoch. */
	readonly at: number;
};

/** Records when each node put which version in force, as read from the nodes' logs. */
export class VersionObserver {
	readonly #activations: Activation[] = [];
	readonly #newest = new Map<string, number>();
	#reverted = 0;

	/**
	 * Number of activations of a version older than one that the node had in force earlier, also before
	 * a restart.
	 */
	get reverted(): number {
		return this.#reverted;
	}

	record(activation: Activation): void {
		const {node, version} = activation;
		const newest = this.#newest.get(node) ?? 0;
		if (version < newest) {
			this.#reverted += 1;
		}

		this.#newest.set(node, Math.max(newest, version));
		this.#activations.push(activation);
	}

	newestOf(node: string): number {
		return this.#newest.get(node) ?? 0;
	}

	/** Counts the nodes of `nodes` that have had `version` or a newer one in force. */
	countAtLeast(nodes: readonly string[], version: number): number {
		return nodes.filter((node) => this.newestOf(node) >= version).length;
	}

	/** Returns the time of the latest activation of `version`; undefined if there is none. */
	lastActivationOf(version: number): number | undefined {
		const times = this.#activations
			.filter((activation) => activation.version === version)
			.map((activation) => activation.at);
		return times.length === 0 ? undefined : Math.max(...times);
	}
}
