/* The link to a worker: a proxy at the worker's address that can fall silent and lead to another process. */
import {connect, createServer} from 'node:net';

export class WorkerLink {
	#target;
	#isDark = false;
	#pairs = new Set();
	#server;

	/** @param target - address of the process behind it. */
	constructor(target) {
		this.#target = target;
		this.#server = createServer({allowHalfOpen: true}, (socket) => {
			socket.on('error', () => undefined);
			if (this.#isDark) {
				this.#pairs.add({socket});
				socket.pause();
				return;
			}

			const [host, port] = this.#target.split(':');
			const behind = connect({host, port: Number(port), allowHalfOpen: true});
			const pair = {socket, behind};
			this.#pairs.add(pair);
			behind.on('error', () => undefined);
			const end = (from, to) => {
				from.once('close', () => {
					if (!pair.isSilent) {
						to.destroy();
						this.#pairs.delete(pair);
					}
				});
			};

			end(socket, behind);
			end(behind, socket);
			socket.pipe(behind);
			behind.pipe(socket);
		});
	}

	async listen(address) {
		const [host, port] = address.split(':');
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(Number(port), host, resolve);
		});
	}

	/** The worker's host falls silent: nothing passes on the connections of now, for good. */
	goDark() {
		this.#isDark = true;
		for (const pair of this.#pairs) {
			pair.isSilent = true;
			pair.socket.unpipe();
			pair.socket.pause();
			pair.behind?.unpipe();
			pair.behind?.destroy();
		}
	}

	/** The address leads to another process. */
	leadTo(target) {
		this.#target = target;
		this.#isDark = false;
	}

	close() {
		this.#server.close();
		for (const {socket, behind} of this.#pairs) {
			socket.destroy();
			behind?.destroy();
		}
	}
}
