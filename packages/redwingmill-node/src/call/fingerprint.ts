import {createHash} from 'node:crypto';
import {type CallRequest} from './payload.js';

/** Up to this length, method and path of a request without a body are its fingerprint, unhashed. */
const maximumPlainFingerprintLength = 100;
const fingerprintDigits = 32;

/** Who sent a request, as far as nodes know it for certain. */
export type RequestOrigin = {
	/** Service of the host on which the request began. */
	readonly caller?: string;
	/** Workspace whose key the request carried. */
	readonly workspace?: string;
};

/** Identifies a request by method, path, body and origin, whichever host it comes from. */
export function fingerprintOf(
	{method, path, body}: CallRequest,
	{caller = '', workspace = ''}: RequestOrigin,
): string {
	const head = `${method} ${path} ${caller} ${workspace}`.trimEnd();
	if (body === undefined && head.length <= maximumPlainFingerprintLength) {
		return head;
	}

	const hash = createHash('sha256').update(`${head}\n`);
	return hash
		.update(body ?? '')
		.digest('hex')
		.slice(0, fingerprintDigits);
}
