import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';

const wholeText = {bytes: Infinity, gapMs: 0};
const headEnd = '\r\n\r\n';

/** A client that sends further requests on a kept connection before the first has been answered. */
export class PipelineClient {
	/** Requests in the order in which they were sent, each with its `answer` once it is complete. */
	requests = [];
	isClosed = false;
	#socket;
	#record;
	#name;
	#bytes = Buffer.alloc(0);
	#answered = 0;

	/** @param options - name, host, port, record(event, fields). */
	constructor({name, host, port, record}) {
		this.#name = name;
		this.#record = record;
		this.#socket = connect({host, port, noDelay: true});
		this.#socket.on('data', (bytes) => {
			this.#bytes = Buffer.concat([this.#bytes, bytes]);
			while (this.#readAnswer()) {
				// Reads all that are complete.
			}
		});
		this.#socket.on('error', () => undefined);
		this.#socket.on('close', () => {
			this.isClosed = true;
			record('connection-closed', {name, unanswered: this.requests.length - this.#answered});
		});
	}

	/** Returns the text of a new request with about as many bytes of headers. */
	request(path, deadlineMs, headerBytes = 0) {
		const id = randomBytes(8).toString('hex');
		this.requests.push({id, path});
		this.#record('sent', {name: this.#name, id, request: `GET ${path}`});
		return [
			`GET ${path} HTTP/1.1`,
			'Host: review.example',
			`X-Request-Id: ${id}`,
			`X-Deadline-Ms: ${deadlineMs}`,
			...(headerBytes > 0 ? [`Cookie: session=${'c'.repeat(headerBytes)}`] : []),
			headEnd.slice(2),
		].join('\r\n');
	}

	/**
	 * Writes requests.
	 *
	 * @param segment - `bytes` that the network carries at once, and the time in milliseconds between two of them.
	 */
	async write(text, {bytes, gapMs} = wholeText) {
		for (let at = 0; at < text.length && !this.isClosed; at += bytes) {
			this.#socket.write(text.slice(at, at + bytes));
			if (gapMs > 0) {
				// eslint-disable-next-line no-await-in-loop
				await delay(gapMs);
			}
		}
	}

	/** Waits until all requests are answered or the connection is closed. */
	async finished(timeoutMs) {
		const giveUpAt = performance.now() + timeoutMs;
		while (
			!this.isClosed &&
			this.#answered < this.requests.length &&
			performance.now() < giveUpAt
		) {
			// eslint-disable-next-line no-await-in-loop
			await delay(20);
		}
	}

	close() {
		this.#socket.destroy();
	}

	#readAnswer() {
		const end = this.#bytes.indexOf(headEnd);
		if (end === -1) {
			return false;
		}

		const [statusLine, ...lines] = this.#bytes.toString('latin1', 0, end).split('\r\n');
		const headers = new Map(
			lines.map((line) => {
				const at = line.indexOf(':');
				return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
			}),
		);
		const bodyEnd = end + headEnd.length + Number(headers.get('content-length') ?? 0);
		if (this.#bytes.length < bodyEnd) {
			return false;
		}

		this.#bytes = this.#bytes.subarray(bodyEnd);
		const request = this.requests.at(this.#answered);
		this.#answered += 1;
		const answer = {
			status: Number(statusLine.split(' ')[1]),
			id: headers.get('x-request-id'),
			stamp: headers.get('x-server-stamp'),
		};
		if (request) {
			request.answer = answer;
		}

		this.#record('answered', {name: this.#name, of: request?.id, ...answer});
		return true;
	}
}
