/** Room for the head of a message, which has its own limit, for interim responses and for trailers. */
const fixedFramingBytes = 64 * 1024;
/** Framing that is accepted for each byte of a body, as of chunks of some 20 bytes. */
const framingPerBodyByte = 0.25;

/**
 * Counts the bytes of a message that aren't part of its body: heads, interim responses, what lies between
 * chunks, trailers. An HTTP parser accepts them without end and reports none of them.
 */
export class FramingMeter {
	#beganAt = 0;
	#bodyBytes = 0;

	/** @param readBytes - bytes of the connection that were read before the message. */
	begin(readBytes: number): void {
		this.#beganAt = readBytes;
		this.#bodyBytes = 0;
	}

	addBody(bytes: number): void {
		this.#bodyBytes += bytes;
	}

	/** @param readBytes - bytes of the connection that have been read so far. */
	isExcessive(readBytes: number): boolean {
		const framingBytes = readBytes - this.#beganAt - this.#bodyBytes;
		return framingBytes > fixedFramingBytes + this.#bodyBytes * framingPerBodyByte;
	}
}
