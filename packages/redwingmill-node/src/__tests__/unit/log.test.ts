import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {Log, logEvents, parseSettings, type Settings} from '../../index.js';
import {NonBlockingStdout, type DescriptorWriter} from '../../observe/non-blocking-stdout.js';

function settingsWith(log: Partial<Settings['log']>): Settings {
	const addresses = {proxy: 1, gate: 2, control: 3, operators: 4};
	const parsed = parseSettings(
		JSON.stringify({
			dataCentre: 'dc-a',
			addresses: Object.fromEntries(
				Object.entries(addresses).map(([name, port]) => [name, `127.0.0.1:${port}`]),
			),
			platform: '127.0.0.1:5',
			log,
		}),
	);
	if (parsed.type === 'invalid') {
		throw new TypeError(JSON.stringify(parsed.faults));
	}

	return parsed.settings;
}

function createLog(log: Partial<Settings['log']> = {}) {
	const lines: string[] = [];
	const sink = {
		enqueue(line: string) {
			lines.push(line);
		},
		takeDroppedCount: () => 0,
	};
	return {lines, log: new Log(settingsWith(log), sink)};
}

/** Collects written bytes. Accepts at most `maximumBytes` at a time, and fails at the given writes. */
function createDescriptor(maximumBytes: number, failingWrites: readonly number[] = []) {
	const written: Buffer[] = [];
	let writes = 0;
	const pending: Array<() => void> = [];
	const writer: DescriptorWriter = (_descriptor, bytes, onWritten) => {
		pending.push(() => {
			const isFailing = failingWrites.includes(writes);
			writes += 1;
			const accepted = Buffer.from(bytes.subarray(0, isFailing ? 0 : maximumBytes));
			written.push(accepted);
			onWritten(isFailing ? new TypeError('broken pipe') : null, accepted.length);
		});
	};

	const drain = () => {
		for (let next = pending.shift(); next; next = pending.shift()) {
			next();
		}
	};

	return {writer, drain, text: () => Buffer.concat(written).toString()};
}

describe('a log line', () => {
	it('is one JSON object with the event, the node and the fields', () => {
		const {lines, log} = createLog();
		log.write(logEvents.nodeJoined, {peer: '10.0.0.1:7000'});
		const {timestamp, ...fields} = JSON.parse(lines[0]) as Record<string, unknown>;
		expect(lines[0].endsWith('}\n')).to.equal(true);
		expect(new Date(String(timestamp)).toISOString()).to.equal(timestamp);
		expect(fields).to.deep.equal({
			level: 'info',
			message: 'node discovered',
			event: 310,
			dataCentre: 'dc-a',
			node: '127.0.0.1:3',
			peer: '10.0.0.1:7000',
		});
	});

	it('starts with time, level and message in the text format', () => {
		const {lines, log} = createLog({format: 'text'});
		log.write(logEvents.nodeLeft, {peer: 'é'});
		expect(lines[0]).to.match(/^\S+Z info node leaves \{"event":313,.*"peer":"é"\}\n$/v);
	});

	it('is written only at the level of the settings or a more severe one', () => {
		const {lines, log} = createLog({level: 'warn'});
		log.write(logEvents.nodeJoined);
		log.write(logEvents.nodeLapsed);
		log.write(logEvents.configurationRefused);
		log.write(logEvents.malformedDatagram);
		expect(lines.map((line) => (JSON.parse(line) as {level: string}).level)).to.deep.equal([
			'warn',
			'error',
		]);
	});
});

describe('the non-blocking standard output', () => {
	it('writes every byte of non-ASCII lines although each write takes only a part', () => {
		const descriptor = createDescriptor(3);
		const stdout = new NonBlockingStdout(descriptor.writer);
		stdout.enqueue('grün größer €\n');
		stdout.enqueue('ja\n');
		descriptor.drain();
		expect(descriptor.text()).to.equal('grün größer €\nja\n');
		expect(stdout.takeDroppedCount()).to.equal(0);
	});

	it('counts the lines of a failed write as dropped, and goes on with the next', () => {
		const descriptor = createDescriptor(1000, [0]);
		const stdout = new NonBlockingStdout(descriptor.writer);
		stdout.enqueue('one\n');
		descriptor.drain();
		stdout.enqueue('two\n');
		stdout.enqueue('three\n');
		descriptor.drain();
		expect(descriptor.text()).to.equal('two\nthree\n');
		expect(stdout.takeDroppedCount()).to.equal(1);
	});

	it('drops and counts lines while its reader takes nothing', () => {
		const descriptor = createDescriptor(1000);
		const stdout = new NonBlockingStdout(descriptor.writer);
		const line = `${'x'.repeat(64 * 1024 - 1)}\n`;
		for (let index = 0; index < 10; index++) {
			stdout.enqueue(line);
		}

		// One line is being written and 256 KiB are queued.
		expect(stdout.takeDroppedCount()).to.equal(5);
	});
});
