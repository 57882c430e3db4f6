import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** Result of reading a request's body. */
export type BodyResult =
	| {readonly type: 'complete'; readonly body: Buffer | undefined}
	| {readonly type: 'too-large'}
	| {readonly type: 'broken'};

/**
 * Reads a complete body up to a limit, then checks that the sender is still connected: a process that
 * was paused reads requests whose senders disconnected long ago. The end of such a connection directly
 * follows the request. `onResult` is called exactly once.
 */
export function readConnectedRequest(
	request: IncomingMessage,
	limitBytes: number,
	onResult: (result: BodyResult) => void,
): void {
	readRequestBody(request, limitBytes, (result) => {
		afterNextPoll(() => {
			const {socket} = request;
			onResult(socket.destroyed || socket.readableEnded ? {type: 'broken'} : result);
		});
	});
}

/** Reads a complete body up to a limit. `onResult` is called exactly once. */
export function readRequestBody(
	request: IncomingMessage,
	limitBytes: number,
	onResult: (result: BodyResult) => void,
): void {
	const {headers} = request;
	const declaredBytes = Number(headers['content-length'] ?? 0);
	if (declaredBytes > limitBytes) {
		onResult({type: 'too-large'});
		return;
	}

	if (declaredBytes === 0 && headers['transfer-encoding'] === undefined) {
		request.resume();
		onResult({type: 'complete', body: undefined});
		return;
	}

	collectBody(request, limitBytes, onResult);
}

function collectBody(
	request: IncomingMessage,
	limitBytes: number,
	onResult: (result: BodyResult) => void,
): void {
	const chunks: Buffer[] = [];
	let bytes = 0;
	let isFinished = false;
	const finish = (result: BodyResult) => {
		if (!isFinished) {
			isFinished = true;
			onResult(result);
		}
	};

	request.on('data', (chunk: Buffer) => {
		bytes += chunk.length;
		if (bytes > limitBytes) {
			finish({type: 'too-large'});
			return;
		}

		chunks.push(chunk);
	});
	request.once('end', () => {
		finish({type: 'complete', body: Buffer.concat(chunks)});
	});
	request.once('close', () => {
		finish({type: 'broken'});
	});
	request.once('error', () => {
		finish({type: 'broken'});
	});
}

/**
 * Runs `callback` after the event loop has polled its sockets once more. The poll that delivers the
 * last bytes of a request doesn't report the end of its connection. The next poll, which runs between
 * two immediates, does.
 */
export function afterNextPoll(callback: () => void): void {
	setImmediate(() => {
		setImmediate(callback);
	});
}
