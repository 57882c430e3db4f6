import {readFileSync} from 'node:fs';
import {formatFault, parseText, type Configuration} from 'redwingmill-text';
import {CommandError, InvalidTextError} from './errors.js';

/** A validated operators' text. */
export type TextFile = {
	readonly text: string;
	readonly configuration: Configuration;
};

/**
 * Reads and validates a text. Throws {@link InvalidTextError}, whose message lists every fault, or
 * {@link CommandError} if the file can't be read.
 */
export function readTextFile(file: string): TextFile {
	const text = readFile(file);
	const parsed = parseText(text);
	if (parsed.type === 'invalid') {
		const lines = parsed.faults.map((fault) => `${file}:${formatFault(fault)}`);
		throw new InvalidTextError(lines.join('\n'));
	}

	return {text, configuration: parsed.configuration};
}

function readFile(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new CommandError(`${file}: can't read the file`, {cause: error});
	}
}
