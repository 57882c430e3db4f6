import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {NodeProcess} from '../../node-process.js';

/**
 * Holds `lockFile` while it runs, as a node holds its ports, and takes a while to stop. Exits with code 1
 * when another process holds the lock.
 */
const programText = String.raw`
const {openSync, unlinkSync} = require('node:fs');
const lock = process.env.lockFile;
openSync(lock, 'wx');
process.on('SIGTERM', () => {
	setTimeout(() => {
		unlinkSync(lock);
		process.exit();
	}, 150);
});
setInterval(() => undefined, 1000);
require('node:fs').writeSync(1, 'started\n');
`;

function createProcess(text = programText) {
	const folder = mkdtempSync(path.join(tmpdir(), 'redwingmill-process-'));
	const program = path.join(folder, 'program.cjs');
	const lock = path.join(folder, 'lock');
	const logFile = path.join(folder, 'log');
	const exits: string[] = [];
	writeFileSync(program, text);
	const node = new NodeProcess({
		program,
		environment: {lockFile: lock},
		logFile,
		onUnexpectedExit(detail) {
			exits.push(detail);
		},
	});
	const startCount = () =>
		existsSync(logFile) ? readFileSync(logFile, 'utf8').split('started').length - 1 : 0;
	const waitForStart = async (count: number) => {
		while (startCount() < count && exits.length === 0) {
			await delay(10);
		}
	};

	return {node, exits, waitForStart};
}

describe('a process of the soak', () => {
	it('starts again only after the one that is being stopped has exited', async () => {
		const {node, exits, waitForStart} = createProcess();
		await node.start();
		await waitForStart(1);
		const firstStop = node.stop();
		const secondStop = node.stop();
		await Promise.all([firstStop, secondStop, node.start()]);
		await waitForStart(2);
		await node.kill();
		expect(exits).to.deep.equal([]);
		expect(node.incarnation).to.equal(2);
	});

	it('is started once by two starts that wait for the same stop', async () => {
		const {node, exits, waitForStart} = createProcess();
		await node.start();
		await waitForStart(1);
		const stop = node.stop();
		await Promise.all([stop, node.start(), node.start()]);
		await waitForStart(2);
		await node.kill();
		expect(exits).to.deep.equal([]);
		expect(node.incarnation).to.equal(2);
	});

	it('reports an exit that its owner did not ask for', async () => {
		const {node, exits} = createProcess('process.exit(3);');
		await node.start();
		while (exits.length === 0) {
			await delay(10);
		}

		expect(exits).to.deep.equal(['exit code 3, signal null']);
	});

	it('ends when the process that started it exits', async () => {
		const folder = mkdtempSync(path.join(tmpdir(), 'redwingmill-process-'));
		const module = new URL('../../node-process.js', import.meta.url).href;
		const program = path.join(folder, 'program.cjs');
		const starter = path.join(folder, 'starter.mjs');
		writeFileSync(program, 'setInterval(() => undefined, 1000);');
		writeFileSync(
			starter,
			`import {NodeProcess} from ${JSON.stringify(module)};
			const options = {program: ${JSON.stringify(program)}, environment: {}, onUnexpectedExit() {}};
			await new NodeProcess({...options, logFile: '/dev/null'}).start();
			process.exit();`,
		);
		const {status} = spawnSync(process.execPath, [starter]);
		expect(status).to.equal(0);
		// The kernel ends it a moment after the signal.
		while (commandsOfAll().some((command) => command.includes(program))) {
			await delay(10);
		}
	});
});

/** Returns the command lines of all processes. */
function commandsOfAll(): string[] {
	return readdirSync('/proc')
		.filter((name) => /^\d+$/v.test(name))
		.map((name) => commandOf(name));
}

/** Returns the command line of a process; empty when it has ended. */
function commandOf(pid: string): string {
	try {
		return readFileSync(`/proc/${pid}/cmdline`, 'utf8');
	} catch {
		// The process has ended since the list was read.
		return '';
	}
}
