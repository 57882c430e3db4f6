import {createHash} from 'node:crypto';
import {type CallRequest} from './payload.js';

/** Up to this length, method and path of a request without a body are its fingerprint, unhashed. */
const maximumPlainFingerprintLength = 100;
const fingerprintDigits = 32;

/** Identifies a request by method, path and body; equal requests of all callers share a fingerprint. */
export function fingerprintOf({method, path, body}: CallRequest): string {
	const head = `${method} ${path}`;
	if (body === undefined && head.length <= maximumPlainFingerprintLength) {
		return head;
	}

	const hash = createHash('sha256').update(`${head}\n`);
	return hash
		.update(body ?? '')
		.digest('hex')
		.slice(0, fingerprintDigits);
}
