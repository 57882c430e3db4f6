#!/usr/bin/env -S node --max-semi-space-size=2
import process from 'node:process';
import {parseArgs} from 'node:util';
import {RelayControlPlane} from './control/relay-control-plane.js';
import {Daemon} from './daemon.js';
import {ListenError, SettingsError} from './errors.js';
import {registerErrorGuard} from './observe/error-guard.js';
import {Log} from './observe/log.js';
import {readSettings} from './settings/read-settings.js';

/** Exit codes of `redwingmilld`. */
const exitCodes = {
	stopped: 0,
	failed: 1,
	usage: 2,
	invalidSettings: 3,
	cannotListen: 4,
	drainTimedOut: 5,
} as const;

const usage = 'usage: redwingmilld --settings FILE [--check]';

function fail(message: string, code: number): never {
	process.stderr.write(`${message}\n`);
	process.exit(code);
}

function readArguments() {
	try {
		return parseArgs({
			options: {settings: {type: 'string'}, check: {type: 'boolean', default: false}},
		}).values;
	} catch (error) {
		return fail(`${(error as Error).message}\n${usage}`, exitCodes.usage);
	}
}

async function run(): Promise<void> {
	const {settings: file, check} = readArguments();
	if (file === undefined) {
		fail(usage, exitCodes.usage);
	}

	const settings = readSettings(file);
	if (check) {
		return;
	}

	const log = new Log(settings);
	const daemon = new Daemon(settings, {
		log,
		createControlPlane: (options) => new RelayControlPlane(options),
	});
	await daemon.start();
	registerErrorGuard(process, log, () => {
		process.exit(exitCodes.failed);
	});
	const signal = await new Promise<NodeJS.Signals>((resolve) => {
		process.once('SIGTERM', resolve);
		process.once('SIGINT', resolve);
	});
	process.removeAllListeners(signal);
	const {isDrained} = await daemon.stop();
	process.exit(isDrained ? exitCodes.stopped : exitCodes.drainTimedOut);
}

try {
	await run();
} catch (error) {
	if (error instanceof SettingsError) {
		fail(error.message, exitCodes.invalidSettings);
	} else if (error instanceof ListenError) {
		fail(error.message, exitCodes.cannotListen);
	} else {
		fail(String((error as Error).stack), exitCodes.failed);
	}
}
