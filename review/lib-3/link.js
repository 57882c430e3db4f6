/* eslint no-void: "off" -- a connection is served until it ends */
import {Buffer} from 'node:buffer';
import {createServer, connect} from 'node:net';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';

/** Shortest time after which TCP sends again what wasn't acknowledged; it doubles with each repetition. */
const firstTimeoutMs = 200;
const segmentBytes = 1448;
const roundTripMs = 2;

/** Returns when TCP sends a segment again for the first time after `healedAt`, if it was first sent at `sentAt`. */
function repeatedAt(sentAt, healedAt) {
	let timeoutMs = firstTimeoutMs;
	let at = sentAt + timeoutMs;
	while (at < healedAt) {
		timeoutMs *= 2;
		at += timeoutMs;
	}

	return at;
}

/**
 * Link to one address of a machine, as a TCP proxy. While it is cut nothing passes. Afterwards a connection goes on
 * when TCP repeats its oldest segment, first with one segment in a round trip, then with twice as many each time.
 */
export class Link {
	#target;
	#record;
	#server;
	#isCut = false;
	#healedAt = 0;
	#sockets = new Set();

	/**
	 * @param target - address that the link leads to.
	 * @param record - takes a line for the record.
	 */
	constructor(target, record) {
		this.#target = target;
		this.#record = record;
	}

	/** Listens on the address that others use in place of the target. */
	async listen(address) {
		const [host, port] = address.split(':');
		this.#server = createServer((socket) => {
			void this.#serve(socket);
		});
		this.#server.listen(Number(port), host);
		await once(this.#server, 'listening');
	}

	cut() {
		this.#isCut = true;
	}

	heal() {
		this.#isCut = false;
		this.#healedAt = performance.now();
	}

	close() {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}

	async #serve(socket) {
		this.#track(socket);
		// A connection that is opened during a cut is established when the cut has healed.
		const wasCut = this.#isCut;
		const early = [];
		const keep = (bytes) => {
			early.push(bytes);
		};

		socket.on('data', keep);
		const drop = () => {
			socket.destroy();
		};

		socket.once('end', drop);
		await this.#untilHealed();
		if (socket.destroyed) {
			return;
		}

		socket.off('data', keep);
		socket.off('end', drop);
		const [host, port] = this.#target.split(':');
		const target = connect({host, port: Number(port), noDelay: true});
		this.#track(target);
		const openedAt = wasCut ? this.#healedAt : 0;
		this.#forward(socket, target, early, openedAt);
		this.#forward(target, socket, [], openedAt);
	}

	/** Writes what TCP repeats, in segments. The end of the connection comes with the last one. */
	async #repeat(repeated, to, hasEnded) {
		let bytes = repeated;
		let windowBytes = segmentBytes;
		this.#record(`link: a connection goes on with ${bytes.length} bytes, ended: ${hasEnded()}`);
		while (bytes.length > windowBytes) {
			to.write(bytes.subarray(0, windowBytes));
			bytes = bytes.subarray(windowBytes);
			windowBytes *= 2;
			await delay(roundTripMs); // eslint-disable-line no-await-in-loop
		}

		if (hasEnded()) {
			to.end(bytes);
		} else {
			to.write(bytes);
		}
	}

	#track(socket) {
		socket.setNoDelay(true);
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
	}

	async #untilHealed() {
		while (this.#isCut) {
			await delay(1); // eslint-disable-line no-await-in-loop
		}
	}

	/** Passes on what `from` sends, and its end behind that. */
	#forward(from, to, early, openedAt) {
		let pending = early;
		let sentAt = performance.now();
		let hasEnded = false;
		let isBusy = false;
		const flush = async () => {
			isBusy = true;
			const wasCut = this.#isCut;
			await this.#untilHealed();
			if (wasCut && openedAt < this.#healedAt) {
				await delay(Math.max(0, repeatedAt(sentAt, this.#healedAt) - performance.now()));
			}

			const bytes = Buffer.concat(pending);
			pending = [];
			if (wasCut) {
				await this.#repeat(bytes, to, () => hasEnded && pending.length === 0);
			} else {
				to.write(bytes);
			}

			isBusy = false;
			if (pending.length > 0) {
				start();
			} else if (hasEnded) {
				to.end();
			}
		};

		const start = () => {
			if (!isBusy) {
				sentAt = performance.now();
				void flush();
			}
		};

		from.on('data', (bytes) => {
			pending.push(bytes);
			start();
		});
		const end = () => {
			if (!hasEnded) {
				hasEnded = true;
				start();
			}
		};

		from.on('end', end);
		from.on('close', end);
		if (pending.length > 0) {
			start();
		}
	}
}
