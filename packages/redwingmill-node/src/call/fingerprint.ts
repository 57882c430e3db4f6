import {createHash} from 'node:crypto';
import {type CallRequest} from './payload.js';

/** Requests without a body are named by method and path, unless these are long. */
const maximumPlainFingerprintLength = 100;
const fingerprintDigits = 32;

/** Names a request by its contents: the same for everyone who sends it again. */
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
