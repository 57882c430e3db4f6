/** A text as it is sent: whole, or as a single replacement in a text that the receiver holds. */
export type TextContent =
	| {readonly type: 'whole'; readonly text: string}
	| {
			readonly type: 'splice';
			/** Digest of the text that the splice applies to. */
			readonly base: string;
			/** Number of characters kept at the start. */
			readonly prefix: number;
			/** Number of characters kept at the end. */
			readonly suffix: number;
			/** Text inserted between the prefix and the suffix. */
			readonly insertion: string;
	  };

/** Shorter texts are sent whole, which is as cheap as a splice. */
const minimumSplicedCharacters = 200;

/** Returns `text` as a splice in `base`, or whole when it is short or there is no `base`. */
export function contentFor(
	text: string,
	base: {readonly text: string; readonly digest: string} | undefined,
): TextContent {
	if (base === undefined || text.length < minimumSplicedCharacters) {
		return {type: 'whole', text};
	}

	const longest = Math.min(text.length, base.text.length);
	let prefix = 0;
	while (prefix < longest && text[prefix] === base.text[prefix]) {
		prefix += 1;
	}

	let suffix = 0;
	while (suffix < longest - prefix && text.at(-1 - suffix) === base.text.at(-1 - suffix)) {
		suffix += 1;
	}

	const insertion = text.slice(prefix, text.length - suffix);
	return {type: 'splice', base: base.digest, prefix, suffix, insertion};
}

/**
 * Restores the text from `content`. Returns undefined when the base of a splice is not in `known` or
 * is too short.
 */
export function textOf(
	content: TextContent,
	known: ReadonlyArray<{readonly text: string; readonly digest: string}>,
): string | undefined {
	switch (content.type) {
		case 'whole': {
			return content.text;
		}

		case 'splice': {
			const base = known.find(({digest}) => digest === content.base)?.text;
			if (base === undefined || content.prefix + content.suffix > base.length) {
				return undefined;
			}

			const start = base.slice(0, content.prefix);
			const end = base.slice(base.length - content.suffix);
			return start + content.insertion + end;
		}
	}
}
