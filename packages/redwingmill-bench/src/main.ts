#!/usr/bin/env node
import process from 'node:process';
import {binary, run, subcommands} from 'cmd-ts';
import {callsCommand} from './commands/calls-command.js';
import {capacityPageCommand} from './commands/capacity-page-command.js';
import {capacityCommand} from './commands/capacity-command.js';
import {convergenceCommand} from './commands/convergence-command.js';
import {demoCommand} from './commands/demo-command.js';
import {evenLoadCommand} from './commands/even-load-command.js';
import {limitsCommand} from './commands/limits-command.js';
import {policiesCommand} from './commands/policies-command.js';
import {quotasCommand} from './commands/quotas-command.js';
import {rolloutsCommand} from './commands/rollouts-command.js';
import {scarcityCommand} from './commands/scarcity-command.js';

const tool = subcommands({
	name: 'redwingmill-bench',
	description: 'Run a demo and measurements with real processes on loopback, or a simulation.',
	cmds: {
		demo: demoCommand,
		convergence: convergenceCommand,
		calls: callsCommand,
		capacity: capacityCommand,
		'capacity-page': capacityPageCommand,
		policies: policiesCommand,
		scarcity: scarcityCommand,
		limits: limitsCommand,
		'even-load': evenLoadCommand,
		quotas: quotasCommand,
		rollouts: rolloutsCommand,
	},
});

await run(binary(tool), process.argv);
process.exit();
