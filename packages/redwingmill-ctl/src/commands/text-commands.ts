import {userInfo} from 'node:os';
import {command, flag, number, option, optional, string} from 'cmd-ts';
import {applyText, differenceOf, waitUntilInForce} from '../apply-text.js';
import {readMeshState} from '../mesh-state.js';
import {readTextFile} from '../text-file.js';
import {fileArgument, jsonFlag, platformOption, print, printJson, withPlatform} from './common.js';

const defaultWaitSeconds = 60;

export const checkCommand = command({
	name: 'check',
	description: 'Validate a text without writing it.',
	args: {file: fileArgument, json: jsonFlag},
	handler({file, json}) {
		const {configuration} = readTextFile(file);
		const {services, routes} = configuration;
		if (json) {
			printJson({services: services.length, routes: routes.length});
		} else {
			print(`${file}: ${services.length} services, ${routes.length} routes, no faults`);
		}
	},
});

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
