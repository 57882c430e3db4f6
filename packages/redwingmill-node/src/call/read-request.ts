import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** How reading a request's body ended. */
export type BodyResult =
	| {readonly type: 'complete'; readonly body: Buffer | undefined}
	| {readonly type: 'too-large'}
	| {readonly type: 'broken'};

/**
 * Reads a whole body up to a limit, then looks whether the sender is still there. A process that
 * was held up reads requests whose senders have left long since; the end of such a connection lies
 * right behind the request. `onResult` is called exactly once.
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

/** Reads a whole body up to a limit. `onResult` is called exactly once. */
export function readRequestBody(
	request: IncomingMessage,
	limitBytes: number,
	onResult: (result: BodyResult) => void,
): void {
	const {headers} = request;
	const declared = Number(headers['content-length'] ?? 0);
	if (declared > limitBytes) {
		onResult({type: 'too-large'});
		return;
	}

	if (declared === 0 && headers['transfer-encoding'] === undefined) {
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
	let isOver = false;
	const finish = (result: BodyResult) => {
		if (!isOver) {
			isOver = true;
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
 * Runs `callback` when the event loop has polled its sockets once more. The poll that brought the last
 * bytes stops there; the end of the connection comes with the next one, between two immediates.
 */
function afterNextPoll(callback: () => void): void {
	setImmediate(() => {
		setImmediate(callback);
	});
}
