import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Teardown} from 'redwingmill-shared';
import {BodyBuffer} from '../body-buffer.js';
import {requestBudget} from './byte-budget.js';
import {FramingMeter} from './framing-meter.js';

/** Result of reading a request's body. */
export type BodyResult =
	| {readonly type: 'complete'; readonly body: Buffer | undefined}
	| {readonly type: 'too-large'}
	/** Too many requests are being received at the same time. */
	| {readonly type: 'no-room'}
	/** The sender has left, or sends framing without end. */
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
	const body = new BodyBuffer();
	const unwatch = watchFraming(request);
	let isFinished = false;
	const finish = (result: BodyResult) => {
		if (!isFinished) {
			isFinished = true;
			unwatch();
			requestBudget.release(body.bytes);
			onResult(result);
		}
	};

	request.on('data', (chunk: Buffer) => {
		if (isFinished) {
			return;
		}

		body.append(chunk);
		if (!requestBudget.reserve(chunk.length, body.bytes)) {
			finish({type: 'no-room'});
		} else if (body.bytes > limitBytes) {
			finish({type: 'too-large'});
		}
	});
	request.once('end', () => {
		finish({type: 'complete', body: body.toBuffer()});
	});
	request.once('close', () => {
		finish({type: 'broken'});
	});
	request.once('error', () => {
		finish({type: 'broken'});
	});
}

/** Breaks the connection of a request whose chunks have too much framing. Returns the teardown. */
function watchFraming(request: IncomingMessage): Teardown {
	const {socket, headers} = request;
	if (headers['transfer-encoding'] === undefined) {
		// The parser reads as many bytes as the length says.
		return () => undefined;
	}

	const meter = new FramingMeter();
	meter.begin(socket.bytesRead);
	const onBody = (chunk: Buffer) => {
		meter.addBody(chunk.length);
	};

	// The parser reports chunks, but nothing of what lies between them.
	const onBytes = () => {
		if (meter.isExcessive(socket.bytesRead)) {
			socket.destroy();
		}
	};

	request.on('data', onBody);
	socket.on('data', onBytes);
	return () => {
		request.off('data', onBody);
		socket.off('data', onBytes);
	};
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
