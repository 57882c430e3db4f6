import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {Writable} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {FrameError} from '../../errors.js';
import {
	decodeMessage,
	encodeMessage,
	encodeSignal,
	FrameReader,
	frameTypes,
} from '../../frames/frame.js';
import {FrameConnection} from '../../frames/frame-connection.js';
import {FrameQueue} from '../../frames/frame-queue.js';
import {SilenceDetector, type SilenceAction} from '../../frames/silence-detector.js';

const largeBytes = 90 * 1024;

/** Takes all frames from a queue and returns their types and exchanges in order. */
function drain(queue: FrameQueue): ReadonlyArray<readonly [type: number, exchange: number]> {
	const reader = new FrameReader();
	const taken: Array<readonly [number, number]> = [];
	while (!queue.isEmpty) {
		const bytes = queue.take();
		for (const {type, exchange} of reader.read(bytes ?? Buffer.alloc(0))) {
			taken.push([type, exchange]);
		}
	}

	return taken;
}

describe('frames between nodes', () => {
	it('are read whole wherever the bytes of the connection are split', () => {
		const message = {head: '["é"]', bodyBytes: 3, part: Buffer.from('abc')};
		const bytes = Buffer.concat([
			encodeSignal(frameTypes.ping),
			encodeMessage(7, message),
			encodeSignal(frameTypes.reset, 9),
		]);
		for (let split = 0; split <= bytes.length; split++) {
			const reader = new FrameReader();
			const frames = [
				...reader.read(bytes.subarray(0, split)),
				...reader.read(bytes.subarray(split)),
			];
			expect(frames.map(({type, exchange}) => [type, exchange])).to.deep.equal([
				[frameTypes.ping, 0],
				[frameTypes.message, 7],
				[frameTypes.reset, 9],
			]);
			expect(decodeMessage(frames[1].payload)).to.deep.equal(message);
		}
	});

	it('are refused with a typed error when they are too large, unknown or contradict their sizes', () => {
		const tooLarge = Buffer.from([0xff, 0xff, 0xff, 0xff, frameTypes.body, 0, 0, 0, 1]);
		const unknown = Buffer.from([0, 0, 0, 0, 99, 0, 0, 0, 1]);
		for (const bytes of [tooLarge, unknown]) {
			expect(() => new FrameReader().read(bytes)).to.throw(FrameError);
		}

		expect(() => decodeMessage(Buffer.from([0, 0, 0, 0, 0, 0, 0, 9, 1]))).to.throw(FrameError);
		expect(() => decodeMessage(Buffer.from([0, 0, 0, 1]))).to.throw(FrameError);
	});

	it('of a large message do not hold up a small one, and large ones take turns', () => {
		const queue = new FrameQueue();
		const body = Buffer.alloc(largeBytes);
		queue.addMessage(1, {head: '1', body});
		queue.addMessage(2, {head: '2', body});
		queue.take();
		queue.take();
		queue.addMessage(3, {head: '3', body: Buffer.from('x')});
		const order = drain(queue);
		expect(order[0]).to.deep.equal([frameTypes.message, 3]);
		expect(order.slice(1, 5).map(([, exchange]) => exchange)).to.deep.equal([2, 1, 2, 1]);
	});

	it('tell when all of a message has been taken, and send no more of one that was reset', () => {
		const taken: number[] = [];
		const queue = new FrameQueue();
		for (const exchange of [1, 2]) {
			const body = Buffer.alloc(largeBytes);
			queue.addMessage(exchange, {
				head: '',
				body,
				onTaken() {
					taken.push(exchange);
				},
			});
		}

		queue.take();
		queue.remove(2);
		expect(drain(queue).every(([, exchange]) => exchange === 1)).to.equal(true);
		expect(taken).to.deep.equal([1]);
	});
});

describe('a connection of frames', () => {
	it('gives the operating system a large body in parts, between which a small message passes', async () => {
		const written: Buffer[] = [];
		const socket = new Writable({
			write(bytes: Buffer, _encoding, callback) {
				written.push(bytes);
				callback();
			},
		});
		let isLinkFree = true;
		const pacer = {
			delayMs: () => (isLinkFree ? 0 : 5),
			onWritten() {
				isLinkFree = false;
			},
		};
		const receiver = {
			onHead: () => false,
			onMessage: () => undefined,
			onReset: () => undefined,
		};
		const connection = new FrameConnection(socket as Socket, receiver, pacer);
		connection.send(1, {head: 'large', body: Buffer.alloc(largeBytes)});
		await nextTurn();
		connection.send(2, {head: 'small', body: Buffer.from('x')});
		await nextTurn();
		const frames = new FrameReader().read(Buffer.concat(written));
		expect(frames.map(({exchange}) => exchange)).to.deep.equal([1, 2]);
	});

	it('does not take a message for sent while its bytes wait to be written', async () => {
		let onWritten = () => undefined as void;
		const socket = new Writable({
			write(_bytes, _encoding, callback) {
				onWritten = callback;
			},
		});
		const connection = new FrameConnection(socket as Socket, {
			onHead: () => false,
			onMessage: () => undefined,
			onReset: () => undefined,
		});
		let isTaken = false;
		connection.send(1, {
			head: '[]',
			onTaken() {
				isTaken = true;
			},
		});
		await nextTurn();
		expect(isTaken).to.equal(false);
		onWritten();
		await nextTurn();
		expect(isTaken).to.equal(true);
	});
});

describe('the detector of silent connections', () => {
	function check(detector: SilenceDetector, times: number, isAwaiting = true): SilenceAction[] {
		return Array.from({length: times}, () => detector.check(isAwaiting)).filter(
			(action) => action !== 'none',
		);
	}

	it('closes a connection that answers neither a request nor a ping', () => {
		expect(check(new SilenceDetector(), 20).slice(0, 2)).to.deep.equal(['ping', 'close']);
	});

	it('keeps one that answers pings while a response takes long', () => {
		const detector = new SilenceDetector();
		for (let round = 0; round < 10; round++) {
			expect(check(detector, 5)).to.deep.equal(['ping']);
			detector.onReceived();
		}
	});

	it('sends nothing on a connection on which no response is awaited', () => {
		expect(check(new SilenceDetector(), 50, false)).to.deep.equal([]);
	});
});
