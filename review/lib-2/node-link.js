/* The link to a node's gate: a proxy whose open connections can fall silent for good, while new ones work. */
import {connect, createServer} from 'node:net';

export class NodeLink {
	#target;
	#pairs = new Set();
	#server;

	/** @param target - address of the gate behind it. */
	constructor(target) {
		this.#target = target;
		this.#server = createServer((socket) => {
			const [host, port] = this.#target.split(':');
			const behind = connect({host, port: Number(port), noDelay: true});
			const pair = {socket, behind, isSilent: false};
			this.#pairs.add(pair);
			socket.setNoDelay(true);
			for (const [from, to] of [
				[socket, behind],
				[behind, socket],
			]) {
				from.on('error', () => undefined);
				from.on('data', (bytes) => {
					if (!pair.isSilent) {
						to.write(bytes);
					}
				});
				from.once('close', () => {
					if (!pair.isSilent) {
						to.destroy();
					}
				});
			}
		});
	}

	async listen(address) {
		const [host, port] = address.split(':');
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(Number(port), host, resolve);
		});
	}

	/** Nothing passes any more on the connections that are open now, not even their end. Returns their number. */
	silence() {
		const open = [...this.#pairs].filter(({socket}) => !socket.destroyed);
		for (const pair of open) {
			pair.isSilent = true;
		}

		return open.length;
	}

	close() {
		this.#server.close();
		for (const {socket, behind} of this.#pairs) {
			socket.destroy();
			behind.destroy();
		}
	}
}
