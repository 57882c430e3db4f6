import {command, positional, string} from 'cmd-ts';
import {CommandError} from '../errors.js';
import {readNodeStatus, type NodeStatus} from '../node-status.js';
import {formatTable} from '../table.js';
import {jsonFlag, nodeAddress, nodeOption, print, printJson} from './common.js';

type RouteStatus = NodeStatus['routes'][number];
type RolloutStatus = NonNullable<NodeStatus['rollouts']>[number];

export const routesCommand = command({
	name: 'routes',
	description: "Show a node's routes and whether they are active.",
	args: {json: jsonFlag, node: nodeOption},
	async handler({json, node}) {
		const {routes, versionInForce} = await readNodeStatus(nodeAddress(node));
		if (json) {
			printJson({versionInForce, routes});
			return;
		}

		const rows = routes.map((route) => [
			route.path,
			methodsOf(route),
			route.service,
			route.state,
			reasonOf(route),
			String(route.endpoints.length),
		]);
		print(formatTable(['path', 'methods', 'service', 'state', 'reason', 'endpoints'], rows));
	},
});

export const nodesCommand = command({
	name: 'nodes',
	description: 'Show the nodes that are known to a node.',
	args: {json: jsonFlag, node: nodeOption},
	async handler({json, node}) {
		const {nodes} = await readNodeStatus(nodeAddress(node));
		if (json) {
			printJson(nodes);
			return;
		}

		const rows = nodes.map((each) => [
			each.address,
			each.dataCentre,
			each.status,
			each.service ?? '-',
			each.worker ?? '-',
			String(each.slots ?? '-'),
		]);
		print(formatTable(['node', 'data centre', 'status', 'service', 'worker', 'slots'], rows));
	},
});

export const gateCommand = command({
	name: 'gate',
	description: "Show the calls at a node's worker, the limit that it states and whether it leaves.",
	args: {json: jsonFlag, node: nodeOption},
	async handler({json, node}) {
		const {gate} = await readNodeStatus(nodeAddress(node));
		if (gate === undefined) {
			throw new CommandError('the node does not report the state of its gate');
		}

		if (json) {
			printJson(gate);
			return;
		}

		const {running, waiting, limitPerSecond, limitWaitMs, isWorkerLeaving} = gate;
		const limit = limitPerSecond === undefined ? '-' : `${limitPerSecond}/s`;
		const wait = limitWaitMs === undefined ? '-' : `${Math.round(limitWaitMs)} ms`;
		const row = [String(running), String(waiting), limit, wait, isWorkerLeaving ? 'yes' : 'no'];
		print(formatTable(['running', 'waiting', 'limit', 'next call in', 'leaving'], [row]));
	},
});

export const rolloutsCommand = command({
	name: 'rollouts',
	description: 'Show the rollouts that a node knows of, with the evidence if it decides on them.',
	args: {json: jsonFlag, node: nodeOption},
	async handler({json, node}) {
		const {rollouts} = await readNodeStatus(nodeAddress(node));
		if (rollouts === undefined) {
			throw new CommandError('the settings of the node have no bounds on rollouts');
		}

		if (json) {
			printJson(rollouts);
			return;
		}

		print(formatRollouts(rollouts));
	},
});

export const explainCommand = command({
	name: 'explain',
	description: 'Show which routes match a path and to which nodes their calls go.',
	args: {
		path: positional({type: string, displayName: 'PATH'}),
		json: jsonFlag,
		node: nodeOption,
	},
	async handler({path, json, node}) {
		const {routes, versionInForce} = await readNodeStatus(nodeAddress(node));
		const matching = routes.filter((route) => isPathPrefix(route.path, path));
		if (matching.length === 0) {
			throw new CommandError(`no route matches ${path} in version ${versionInForce?.number ?? 0}`);
		}

		if (json) {
			printJson(matching);
			return;
		}

		for (const route of matching) {
			print(`${methodsOf(route)} ${route.path} -> ${route.service}: ${route.state}`);
			print(route.reason ? `  ${reasonOf(route)}` : endpointsOf(route));
		}
	},
});

function isPathPrefix(prefix: string, path: string): boolean {
	return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

function methodsOf({methods}: RouteStatus): string {
	return methods.length === 0 ? '*' : methods.join(',');
}

function reasonOf({reason}: RouteStatus): string {
	return reason ? `${reason.type}: ${reason.service}` : '';
}

function endpointsOf({endpoints}: RouteStatus): string {
	return endpoints.map(({node, dataCentre}) => `  ${dataCentre}  ${node}`).join('\n');
}

const msPerSecond = 1000;
const percent = 100;

/** Formats rollouts as a table, and below it the reason and the evidence of each. */
export function formatRollouts(rollouts: readonly RolloutStatus[]): string {
	const rows = rollouts.map((each) => [
		each.service,
		each.targetVersion,
		each.isWithdrawn ? `${each.state}, removed` : each.state,
		`${(each.share * percent).toFixed(1)} %`,
		`${seconds(each.elapsedMs)} of ${seconds(each.durationMs)}`,
		`${seconds(each.changedMsAgo)} ago`,
		each.decider === '' ? '-' : each.decider,
	]);
	const heading = ['service', 'version', 'state', 'share', 'time', 'state since', 'decided by'];
	const details = rollouts.flatMap(({service, reason, evidence}) => [
		'',
		`${service}: ${reason}`,
		...evidence.map(
			({version, workers, runs, failures, meanMs}) =>
				`  ${version === '' ? '(no version)' : version}: ${workers} workers, ${runs} runs, ` +
				`${failures} failures, mean ${meanMs.toFixed(1)} ms`,
		),
	]);
	return [formatTable(heading, rows), ...details].join('\n');
}

function seconds(ms: number): string {
	return `${(ms / msPerSecond).toFixed(1)} s`;
}
