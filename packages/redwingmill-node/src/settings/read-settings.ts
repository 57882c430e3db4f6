import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {type ErrorObject, type ValidateFunction} from 'ajv';
import {
	findNodeAtLocation,
	parse,
	parseTree,
	printParseErrorCode,
	type ParseError,
} from 'jsonc-parser';
import {SettingsError} from '../errors.js';
import {validate} from './generated/check-settings.js';
import {type Settings} from './settings.js';

const sizeLimitBytes = 256 * 1024;

/** An error in a settings file. Line and column start at 1. */
export type SettingsFault = {
	readonly line: number;
	readonly column: number;
	readonly message: string;
};

/** Reads and validates a settings file. Throws a {@link SettingsError} that lists every fault. */
export function readSettings(file: string): Settings {
	const text = readText(file);
	const result = parseSettings(text);
	if (result.type === 'valid') {
		return result.settings;
	}

	const lines = result.faults.map(
		({line, column, message}) => `${file}:${line}:${column}: ${message}`,
	);
	throw new SettingsError(lines.join('\n'));
}

/** Result of {@link parseSettings}. */
export type ParsedSettings =
	| {readonly type: 'valid'; readonly settings: Settings}
	| {readonly type: 'invalid'; readonly faults: readonly SettingsFault[]};

/** Parses and validates settings in JSON with comments and trailing commas. */
export function parseSettings(text: string): ParsedSettings {
	if (Buffer.byteLength(text) > sizeLimitBytes) {
		const message = `the settings are larger than ${sizeLimitBytes} bytes`;
		return {type: 'invalid', faults: [{line: 1, column: 1, message}]};
	}

	const errors: ParseError[] = [];
	const value: unknown = parse(text, errors, {allowTrailingComma: true});
	if (errors.length > 0) {
		const faults = errors.map(({error, offset}) => ({
			...positionAt(text, offset),
			message: `syntax error: ${printParseErrorCode(error)}`,
		}));
		return {type: 'invalid', faults};
	}

	const isSettings = validate as ValidateFunction<Settings>;
	if (isSettings(value)) {
		return {type: 'valid', settings: value};
	}

	const faults = (isSettings.errors ?? []).map((error) => faultOf(text, error));
	return {type: 'invalid', faults};
}

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError(`${file}: cannot read the settings file`, {cause: error});
	}
}

function faultOf(text: string, error: ErrorObject): SettingsFault {
	const path = error.instancePath.split('/').slice(1);
	const {additionalProperty} = error.params as {additionalProperty?: string};
	const location = additionalProperty === undefined ? path : [...path, additionalProperty];
	const root = parseTree(text);
	const node =
		root &&
		findNodeAtLocation(
			root,
			location.map((segment) => toSegment(segment)),
		);
	// The position of an unknown field is that of its name; other faults are located at the value.
	const target = additionalProperty === undefined ? node : node?.parent;
	const offset = target?.offset ?? 0;
	const name = location.length === 0 ? 'settings' : location.join('.');
	return {...positionAt(text, offset), message: `${name}: ${describe(error)}`};
}

function toSegment(segment: string): string | number {
	return /^\d+$/v.test(segment) ? Number(segment) : segment;
}

function describe(error: ErrorObject): string {
	switch (error.keyword) {
		case 'additionalProperties': {
			const {properties} = error.parentSchema as {properties: Record<string, unknown>};
			return `unknown field; known fields: ${Object.keys(properties).join(', ')}`;
		}

		case 'enum': {
			const {allowedValues} = error.params as {allowedValues: readonly string[]};
			return `expected one of ${allowedValues.join(', ')}`;
		}

		default: {
			return error.message ?? error.keyword;
		}
	}
}

function positionAt(text: string, offset: number): {line: number; column: number} {
	const before = text.slice(0, offset).split('\n');
	return {line: before.length, column: (before.at(-1)?.length ?? 0) + 1};
}
