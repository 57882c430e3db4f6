import {spawnSync} from 'node:child_process';
import process from 'node:process';

// Wire names of the users' platform. Only its adapter, in `platform/`, may contain them.
const names = [
	'x-deadline-ms',
	'x-expect-instance',
	'x-server-stamp',
	'x-server-load',
	'x-not-run',
	'x-caller-service',
	'x-instance-id',
	'Instances[.]Heartbeat',
	'Instances[.]Leave',
	'traffic_split',
	'path_prefix',
	'target_latency_ms',
	'heartbeat_addr',
	'current_rev',
	'redwingmill/objects',
	'REDWINGMILL_BOOT',
	'redwingmill-users-platform',
];

const {stdout} = spawnSync(
	'git',
	['grep', '-inE', names.join('|'), '--', 'packages', 'test', 'examples'],
	{encoding: 'utf8'},
);
if (stdout !== '') {
	process.stderr.write(`names of the users' platform outside platform/:\n${stdout}`);
	process.exit(1);
}
