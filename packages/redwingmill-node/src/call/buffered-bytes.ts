/**
 * Limit for the responses that this process is receiving, all together. A few workers that send without
 * end would otherwise use up its memory, each below the limit of a single response.
 */
const maximumBufferedBytes = 48 * 1024 * 1024;
let bufferedBytes = 0;

/** Counts bytes of a response that is being received. Returns whether there is room for them. */
export function reserveBytes(bytes: number): boolean {
	bufferedBytes += bytes;
	return bufferedBytes <= maximumBufferedBytes;
}

/** Gives back what was reserved for a response, also if there was no room for it. */
export function releaseBytes(bytes: number): void {
	bufferedBytes -= bytes;
}
