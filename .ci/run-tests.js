import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

/** Returns the full titles of the tests that KNOWN-RED.txt lists in `test: ` lines. */
function readKnownFailures() {
	if (!existsSync('KNOWN-RED.txt')) {
		return new Set();
	}

	const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
	return new Set(
		lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length)),
	);
}

/** Runs mocha with the given options. Returns its exit status and what its JSON reporter wrote. */
async function runMocha(options) {
	const child = spawn('npx', ['mocha', ...options, '--reporter', 'json'], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	let stdout = '';
	child.stdout.setEncoding('utf8');
	child.stdout.on('data', (text) => {
		stdout += text;
	});
	const [status] = await once(child, 'close');
	const start = stdout.indexOf('{\n  "stats"');
	if (start === -1) {
		throw new Error(`${stdout}\nmocha ${options.join(' ')} did not report`);
	}

	return {status, ...JSON.parse(stdout.slice(start))};
}

// Simulations have neither sockets nor wall time, so that they may share the processors; the others run after
// them, as they start processes and hold them to times.
const runs = [
	await runMocha(['--config', '.ci/simulations.mocharc.json']),
	await runMocha(['--ignore', 'test/dist/**/*.test.js']),
];
const failures = runs.flatMap((run) => run.failures);
const passes = runs.reduce((sum, {stats}) => sum + stats.passes, 0);
const knownFailures = readKnownFailures();
const unexpected = failures.filter(({fullTitle}) => !knownFailures.has(fullTitle));
for (const {fullTitle, err} of failures) {
	const kind = knownFailures.has(fullTitle) ? 'known red' : 'FAILED';
	process.stdout.write(`${kind}: ${fullTitle}\n${err.stack ?? err.message ?? ''}\n`);
}

process.stdout.write(`known red: ${failures.length - unexpected.length}\n`);
process.stdout.write(`${passes} passed, ${unexpected.length} failed\n`);
// Mocha fails without a failed test if, for example, a file can't be loaded.
const hasRunAll = runs.every(
	(run) => run.stats.passes > 0 && (run.status === 0 || run.failures.length > 0),
);
process.exit(unexpected.length === 0 && hasRunAll ? 0 : 1);
