/** A text as it is sent: whole, or as the one difference from a text that the receiver has. */
export type TextContent =
	| {readonly type: 'whole'; readonly text: string}
	| {
			readonly type: 'splice';
			/** Digest of the text that is changed. */
			readonly base: string;
			/** Characters kept at the start. */
			readonly prefix: number;
			/** Characters kept at the end. */
			readonly suffix: number;
			/** What stands between them. */
			readonly insertion: string;
	  };

/** Bytes below which a whole text is as cheap as a splice. */
const minimumSplicedCharacters = 200;

/** The cheapest content that turns `base` into `text`. */
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

/** The text that `content` stands for; undefined when its base isn't among `known`. */
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
