import {formatFault, parseText, type Configuration} from 'redwingmill-text';
import {digestOf} from 'redwingmill-shared';
import {type Version} from './version.js';

/** One complete version of the configuration: its identity, its text and the parsed text. */
export type Snapshot = {
	readonly version: Version;
	readonly text: string;
	readonly configuration: Configuration;
};

/** Reasons why a node does not stage a version. */
export type Refusal = {
	readonly version: Version;
	/** Lines for operators, each with its position in the text. */
	readonly reasons: readonly string[];
};

/** Result of checking a version before it is staged. */
export type CheckedText =
	| {readonly type: 'accepted'; readonly snapshot: Snapshot}
	| {readonly type: 'refused'; readonly refusal: Refusal}
	| {readonly type: 'corrupt'};

const maximumReasons = 5;

/** Checks a whole text. A mismatch with the digest means a corrupt text, not a faulty version. */
export function checkText(version: Version, text: string): CheckedText {
	if (digestOf(text) !== version.digest) {
		return {type: 'corrupt'};
	}

	const parsed = parseText(text);
	switch (parsed.type) {
		case 'valid': {
			return {type: 'accepted', snapshot: {version, text, configuration: parsed.configuration}};
		}

		case 'invalid': {
			const reasons = parsed.faults.slice(0, maximumReasons).map((fault) => formatFault(fault));
			return {type: 'refused', refusal: {version, reasons}};
		}
	}
}
