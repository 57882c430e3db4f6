import {Buffer} from 'node:buffer';
import {FrameError} from '../errors.js';

/** Types of frames on a connection between two nodes. */
export const frameTypes = {
	/** Begin of a message: size of its body and of its head in bytes (4 each), head, first part of the body. */
	message: 1,
	/** A further part of a message's body. */
	body: 2,
	/** The request of the exchange is being processed; its response may take long. */
	accepted: 3,
	/** The sender takes no further part in the exchange. */
	reset: 4,
	/** Asks for a pong, to learn whether the connection still works. */
	ping: 5,
	pong: 6,
} as const;

/** One of {@link frameTypes}. */
export type FrameType = (typeof frameTypes)[keyof typeof frameTypes];

/** Unit of transmission; messages with large bodies take several. */
export type Frame = {
	readonly type: FrameType;
	/** Exchange to which the frame belongs; 0 for frames of the connection. */
	readonly exchange: number;
	readonly payload: Buffer;
};

/** First frame of a message. */
export type MessageStart = {
	readonly head: string;
	/** Size of the whole body in bytes. */
	readonly bodyBytes: number;
	/** First part of the body. */
	readonly part: Buffer;
};

/** Highest number of an exchange; the next one is 1 again. */
export const maximumExchange = 0xff_ff_ff_ff;
/** Length of the payload (4 bytes), type (1) and exchange (4). */
const headerBytes = 9;
/** Sizes of the body and of the head. */
const sizesBytes = 8;
/** Room for the headers of a request, which the entry node limits, in JSON. */
const maximumPayloadBytes = 256 * 1024;
const knownTypes: ReadonlySet<number> = new Set(Object.values(frameTypes));
const noBytes = Buffer.alloc(0);

/** Encodes a frame without a payload. */
export function encodeSignal(type: FrameType, exchange = 0): Buffer {
	return newFrame(type, exchange, 0);
}

/** Encodes a further part of a body. */
export function encodeBody(exchange: number, part: Buffer): Buffer {
	const frame = newFrame(frameTypes.body, exchange, part.length);
	part.copy(frame, headerBytes);
	return frame;
}

/** Encodes the first frame of a message. */
export function encodeMessage(exchange: number, {head, bodyBytes, part}: MessageStart): Buffer {
	const headLength = Buffer.byteLength(head);
	const frame = newFrame(frameTypes.message, exchange, sizesBytes + headLength + part.length);
	frame.writeUInt32BE(bodyBytes, headerBytes);
	frame.writeUInt32BE(headLength, headerBytes + 4);
	frame.write(head, headerBytes + sizesBytes);
	part.copy(frame, headerBytes + sizesBytes + headLength);
	return frame;
}

/** Decodes the payload of a message's first frame. Throws {@link FrameError} if its sizes don't fit. */
export function decodeMessage(payload: Buffer): MessageStart {
	if (payload.length < sizesBytes) {
		throw new FrameError(`A message of ${payload.length} bytes has no sizes`);
	}

	const bodyBytes = payload.readUInt32BE(0);
	const headEnd = sizesBytes + payload.readUInt32BE(4);
	const partBytes = payload.length - headEnd;
	if (partBytes < 0 || partBytes > bodyBytes) {
		throw new FrameError(`A message of ${payload.length} bytes doesn't fit its sizes`);
	}

	const head = payload.toString('utf8', sizesBytes, headEnd);
	return {head, bodyBytes, part: payload.subarray(headEnd)};
}

function newFrame(type: FrameType, exchange: number, payloadBytes: number): Buffer {
	const frame = Buffer.allocUnsafe(headerBytes + payloadBytes);
	frame.writeUInt32BE(payloadBytes, 0);
	frame.writeUInt8(type, 4);
	frame.writeUInt32BE(exchange, 5);
	return frame;
}

/** Splits the bytes of a connection into frames. */
export class FrameReader {
	#rest: Buffer = noBytes;

	/** Returns the frames that `bytes` complete. Throws {@link FrameError} at bytes that are no frame. */
	read(bytes: Buffer): readonly Frame[] {
		const input = this.#rest.length === 0 ? bytes : Buffer.concat([this.#rest, bytes]);
		const frames: Frame[] = [];
		let position = 0;
		while (input.length - position >= headerBytes) {
			const payloadBytes = input.readUInt32BE(position);
			const type = input.readUInt8(position + 4);
			if (payloadBytes > maximumPayloadBytes || !knownTypes.has(type)) {
				throw new FrameError(`Frame of type ${type} with ${payloadBytes} bytes`);
			}

			const end = position + headerBytes + payloadBytes;
			if (end > input.length) {
				break;
			}

			const exchange = input.readUInt32BE(position + 5);
			const payload = input.subarray(position + headerBytes, end);
			frames.push({type: type as FrameType, exchange, payload});
			position = end;
		}

		this.#rest = input.subarray(position);
		return frames;
	}
}
