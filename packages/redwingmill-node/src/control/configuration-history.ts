import {applyMergePatch, mergePatchOf, type Json} from 'redwingmill-core';

/** A configuration as one node hands it to another. */
export type ConfigurationReply =
	| {readonly type: 'whole'; readonly source: unknown}
	/** Change from the version `base` to the one held, as a merge patch. */
	| {readonly type: 'change'; readonly base: number; readonly patch: Json}
	/** The node holds none. */
	| {readonly type: 'none'};

/** A version and its source. */
type StoredVersion = {readonly version: number; readonly source: Json};

/** Versions kept besides the newest: nodes that ask are seldom further behind. */
const maximumVersions = 12;

/** Sources of the last versions that a node held; tells other nodes what changed since theirs. */
export class ConfigurationHistory {
	/** Oldest first. */
	#versions: readonly StoredVersion[] = [];
	/** Replies by the version that was asked from; many nodes ask from the same one. */
	readonly #replies = new Map<number, ConfigurationReply>();

	add(version: number, source: unknown): void {
		this.#versions = [...this.#versions, {version, source: source as Json}].slice(-maximumVersions);
		this.#replies.clear();
	}

	/** @param since - version that the other node holds. */
	replySince(since: number | undefined): ConfigurationReply {
		const newest = this.#versions.at(-1);
		if (newest === undefined) {
			return {type: 'none'};
		}

		if (since === undefined) {
			return {type: 'whole', source: newest.source};
		}

		const reply = this.#replies.get(since) ?? this.#createReply(since, newest);
		this.#replies.set(since, reply);
		return reply;
	}

	/** Source that a reply tells, or undefined when it doesn't fit what is held here. */
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

	#createReply(since: number, newest: StoredVersion): ConfigurationReply {
		const known = this.#versions.find(({version}) => version === since);
		const patch = known && mergePatchOf(known.source, newest.source);
		return patch === undefined
			? {type: 'whole', source: newest.source}
			: {type: 'change', base: since, patch};
	}
}
