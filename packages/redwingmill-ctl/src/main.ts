#!/usr/bin/env node
import process from 'node:process';
import {binary, run, subcommands} from 'cmd-ts';
import {
	explainCommand,
	gateCommand,
	nodesCommand,
	rolloutsCommand,
	routesCommand,
} from './commands/node-commands.js';
import {statusCommand} from './commands/status-command.js';
import {applyCommand, checkCommand, diffCommand} from './commands/text-commands.js';
import {
	CommandError,
	ConflictError,
	InvalidTextError,
	NotInForceError,
	UnavailableError,
} from './errors.js';
import {exitCodes} from './exit-codes.js';

const tool = subcommands({
	name: 'redwingmillctl',
	description: 'Manages and inspects the configuration of a redwingmill mesh.',
	cmds: {
		check: checkCommand,
		apply: applyCommand,
		status: statusCommand,
		diff: diffCommand,
		routes: routesCommand,
		nodes: nodesCommand,
		gate: gateCommand,
		rollouts: rolloutsCommand,
		explain: explainCommand,
	},
});

function exitCodeOf(error: unknown): number {
	if (error instanceof InvalidTextError) {
		return exitCodes.invalidText;
	}

	if (error instanceof ConflictError) {
		return exitCodes.conflict;
	}

	if (error instanceof UnavailableError) {
		return exitCodes.unavailable;
	}

	return error instanceof NotInForceError ? exitCodes.notInForce : exitCodes.failed;
}

try {
	await run(binary(tool), process.argv);
} catch (error) {
	const text = error instanceof CommandError ? error.message : String((error as Error).stack);
	process.stderr.write(`${text}\n`);
	process.exitCode = exitCodeOf(error);
}
