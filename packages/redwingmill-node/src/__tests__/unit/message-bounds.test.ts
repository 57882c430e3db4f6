import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {BodyBuffer} from '../../body-buffer.js';
import {ByteBudget} from '../../call/byte-budget.js';
import {FramingMeter} from '../../call/framing-meter.js';

/** Bytes of a chunk's size and line ends. */
const chunkFramingBytes = 6;

/** Feeds a meter with a body in chunks. Returns the bytes of the body when it became excessive. */
function bodyBytesWhenExcessive(chunkBytes: number, maximumBytes: number): number | undefined {
	const meter = new FramingMeter();
	meter.begin(1000);
	let readBytes = 1000;
	for (let body = 0; body < maximumBytes; body += chunkBytes) {
		readBytes += chunkBytes + chunkFramingBytes;
		meter.addBody(chunkBytes);
		if (meter.isExcessive(readBytes)) {
			return body;
		}
	}

	return undefined;
}

describe('framing meter', () => {
	it('accepts answers of usual size in chunks of one byte', () => {
		expect(bodyBytesWhenExcessive(1, 10_000)).to.equal(undefined);
	});

	it('accepts a body of any size in chunks of a line', () => {
		expect(bodyBytesWhenExcessive(40, 16_000_000)).to.equal(undefined);
	});

	it('ends a body in chunks of one byte before it costs much', () => {
		expect(bodyBytesWhenExcessive(1, 1_000_000)).to.be.below(20_000);
	});

	it('counts each message of a connection by itself', () => {
		const meter = new FramingMeter();
		meter.begin(0);
		expect(meter.isExcessive(100_000)).to.equal(true);
		meter.begin(100_000);
		expect(meter.isExcessive(110_000)).to.equal(false);
	});
});

describe('body buffer', () => {
	it('returns the body whatever the sizes of its chunks', () => {
		const chunks = [3, 1, 5000, 1, 1, 4095, 2, 1024, 1023].map((bytes, index) =>
			Buffer.alloc(bytes, index + 65),
		);
		const buffer = new BodyBuffer();
		for (const chunk of chunks) {
			buffer.append(chunk);
		}

		const whole = Buffer.concat(chunks);
		expect(buffer.bytes).to.equal(whole.length);
		expect(buffer.toBuffer().equals(whole)).to.equal(true);
	});

	it('returns an empty body without chunks', () => {
		expect(new BodyBuffer().toBuffer().length).to.equal(0);
	});
});

describe('byte budget', () => {
	it('has no room for a large message beside others once the limit is reached', () => {
		const budget = new ByteBudget(100, 10);
		expect(budget.reserve(60, 60)).to.equal(true);
		expect(budget.reserve(60, 60)).to.equal(false);
		budget.release(60);
		expect(budget.reserve(40, 40)).to.equal(true);
	});

	it('receives small messages, and a large one that is alone', () => {
		const budget = new ByteBudget(100, 10);
		expect(budget.reserve(150, 150)).to.equal(true);
		expect(budget.reserve(10, 10)).to.equal(true);
	});
});
