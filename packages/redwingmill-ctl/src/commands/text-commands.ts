import {userInfo} from 'node:os';
import process from 'node:process';
import {command, flag, number, oneOf, option, optional, string} from 'cmd-ts';
import {parseText, type Configuration} from 'redwingmill-text';
import {applyText, differenceOf, waitUntilInForce} from '../apply-text.js';
import {createCheckReport, formatCheckReport} from '../check-report.js';
import {UnavailableError} from '../errors.js';
import {exitCodes} from '../exit-codes.js';
import {readMeshState} from '../mesh-state.js';
import {readTextFile} from '../text-file.js';
import {fileArgument, jsonFlag, platformOption, print, printJson, withPlatform} from './common.js';

const defaultWaitSeconds = 60;

export const checkCommand = command({
	name: 'check',
	description: 'Validate a text and look for probable mistakes in it, without writing it.',
	args: {
		file: fileArgument,
		json: jsonFlag,
		format: option({
			type: oneOf(['text', 'json'] as const),
			long: 'format',
			defaultValue: () => 'text' as const,
		}),
		against: option({
			type: optional(string),
			long: 'against',
			description:
				'File with the text to compare with; by default the version in force on the platform.',
		}),
		platform: platformOption,
	},
	async handler({file, json, format, against, platform}) {
		const {configuration} = readTextFile(file);
		const inForce = await readComparedText(against, platform);
		const report = createCheckReport(configuration, inForce);
		if (json || format === 'json') {
			printJson(report);
		} else {
			print(formatCheckReport(file, report));
		}

		if (report.findings.length > 0) {
			process.exitCode = exitCodes.warnings;
		}
	},
});

/** Returns the configuration to compare with; undefined if neither a file nor a platform is given. */
async function readComparedText(
	against: string | undefined,
	platform: string | undefined,
): Promise<Configuration | undefined> {
	if (against !== undefined) {
		return readTextFile(against).configuration;
	}

	if ((platform ?? process.env.REDWINGMILL_PLATFORM ?? '') === '') {
		return undefined;
	}

	try {
		const {acceptance} = await withPlatform(platform, readMeshState);
		const parsed = acceptance && parseText(acceptance.text);
		return parsed?.type === 'valid' ? parsed.configuration : undefined;
	} catch (error) {
		if (error instanceof UnavailableError) {
			process.stderr.write(`not compared with the version in force: ${error.message}\n`);
			return undefined;
		}

		throw error;
	}
}

export const applyCommand = command({
	name: 'apply',
	description: 'Write a text as the next version.',
	args: {
		file: fileArgument,
		json: jsonFlag,
		platform: platformOption,
		baseVersion: option({
			type: optional(number),
			long: 'base-version',
			description: 'Fail unless this is the newest version.',
		}),
		author: option({type: optional(string), long: 'author'}),
		wait: flag({
			long: 'wait',
			description:
				'Wait until the version is in force in all data centres except unresponsive (absent) ones.',
		}),
		waitSeconds: option({
			type: number,
			long: 'wait-seconds',
			defaultValue: () => defaultWaitSeconds,
		}),
	},
	async handler({file, json, platform, baseVersion, author, wait, waitSeconds}) {
		const {text} = readTextFile(file);
		await withPlatform(platform, async (client) => {
			const startedAt = performance.now();
			const version = await applyText(client, {
				text,
				baseVersion,
				author: author ?? userInfo().username,
			});
			const progress = wait
				? await waitUntilInForce(client, version, waitSeconds * 1000)
				: undefined;
			const convergenceMs = wait ? Math.round(performance.now() - startedAt) : undefined;
			if (json) {
				printJson({version, progress, convergenceMs});
			} else {
				const state = progress ? `${progress.type} after ${convergenceMs} ms` : 'written';
				print(`version ${version.number} (${version.digest}): ${state}`);
			}
		});
	},
});

export const diffCommand = command({
	name: 'diff',
	description: 'Show the difference between the accepted text and a file.',
	args: {file: fileArgument, json: jsonFlag, platform: platformOption},
	async handler({file, json, platform}) {
		const {text} = readTextFile(file);
		const {acceptance} = await withPlatform(platform, readMeshState);
		const patch = differenceOf(acceptance?.text ?? '', text, ['in force', file]);
		if (json) {
			printJson({version: acceptance?.version, isSame: acceptance?.text === text, patch});
		} else {
			print(acceptance?.text === text ? 'no difference' : patch);
		}
	},
});
