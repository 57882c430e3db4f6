import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {constants, gunzipSync, gzipSync} from 'node:zlib';
import {type ConfigurationReply} from './configuration-history.js';

const gzipEncoding = 'gzip';
/** Header with which a node asks for a compressed reply. */
export const acceptGzip = {'accept-encoding': gzipEncoding} as const;
/** Replies below this size are sent as they are. */
const minimumCompressedBytes = 8 * 1024;
const decodedLimitBytes = 16 * 1024 * 1024;

/** A reply as it is sent, in JSON. */
export type EncodedReply = {
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Buffer;
};

/** Many nodes that start together ask for the same reply, which is compressed once. */
const compressedReplies = new WeakMap<ConfigurationReply, EncodedReply>();

/**
 * Encodes a reply. A whole configuration of many routes shrinks to about a tenth, which decides how
 * soon a node on a narrow link can serve after its start.
 */
export function encodeReply(
	reply: ConfigurationReply,
	{'accept-encoding': accepted}: IncomingHttpHeaders,
): EncodedReply {
	const isCompressible = accepted === gzipEncoding;
	const known = isCompressible ? compressedReplies.get(reply) : undefined;
	if (known) {
		return known;
	}

	const headers = {'content-type': 'application/json'};
	const plain = Buffer.from(JSON.stringify(reply));
	if (!isCompressible || plain.length < minimumCompressedBytes) {
		return {headers, body: plain};
	}

	const encoded = {
		headers: {...headers, 'content-encoding': gzipEncoding},
		body: gzipSync(plain, {level: constants.Z_BEST_SPEED}),
	};
	compressedReplies.set(reply, encoded);
	return encoded;
}

/** Decodes a reply. Returns `none` if it is malformed, or too large once it is decompressed. */
export function decodeReply(headers: IncomingHttpHeaders, body: Buffer): ConfigurationReply {
	try {
		const isCompressed = headers['content-encoding'] === gzipEncoding;
		const text = isCompressed ? gunzipSync(body, {maxOutputLength: decodedLimitBytes}) : body;
		return JSON.parse(text.toString()) as ConfigurationReply;
	} catch {
		return {type: 'none'};
	}
}
