import {applyMergePatch, mergePatchOf, type Json} from 'redwingmill-core';

/** Answer of a node to another node that requests its configuration, in JSON. */
export type ConfigurationReply =
	| {readonly type: 'whole'; readonly source: unknown}
	/** JSON merge patch from version `base` to the version in force at the answering node. */
	| {readonly type: 'change'; readonly base: number; readonly patch: Json}
	/** The node has no configuration yet. */
	| {readonly type: 'none'};

type StoredVersion = {readonly version: number; readonly source: Json};

/** Nodes that request a patch are rarely more versions behind than this. */
const maximumVersions = 12;

/** Stores the sources of recent configuration versions and computes patches for other nodes. */
export class ConfigurationHistory {
	/** Oldest first. */
	#versions: readonly StoredVersion[] = [];
	/** Replies by base version, cached because many nodes request the patch from the same version. */
	readonly #replies = new Map<number | undefined, ConfigurationReply>();

	add(version: number, source: unknown): void {
		this.#versions = [...this.#versions, {version, source: source as Json}].slice(-maximumVersions);
		this.#replies.clear();
	}

	/** @param since - version that the requesting node holds; undefined if it holds none. */
	replySince(since: number | undefined): ConfigurationReply {
		const newest = this.#versions.at(-1);
		if (newest === undefined) {
			return {type: 'none'};
		}

		const reply = this.#replies.get(since) ?? this.#createReply(since, newest);
		this.#replies.set(since, reply);
		return reply;
	}

	/**
	 * Returns the configuration source that a reply contains or, for a patch, yields; undefined if
	 * there is none or the patch's base version isn't stored.
	 */
	sourceFromReply(reply: ConfigurationReply): unknown {
		switch (reply.type) {
			case 'whole': {
				return reply.source;
			}

			case 'change': {
				const base = this.#versions.find(({version}) => version === reply.base);
				return base && applyMergePatch(base.source, reply.patch);
			}

			case 'none': {
				return undefined;
			}
		}
	}

	#createReply(since: number | undefined, newest: StoredVersion): ConfigurationReply {
		const base = this.#versions.find(({version}) => version === since);
		const patch = base && mergePatchOf(base.source, newest.source);
		return base === undefined || patch === undefined
			? {type: 'whole', source: newest.source}
			: {type: 'change', base: base.version, patch};
	}
}
