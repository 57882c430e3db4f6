import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import {DelayQueue} from './delay-queue.js';
import {type LinkBehaviour} from './soak-fault.js';

type Direction = 'to-listener' | 'to-caller';

type ConnectionPair = {
	readonly caller: Socket;
	readonly listener: Socket;
	/** Whether the connection carries nothing any more, whatever the behaviour. */
	isSilenced: boolean;
};

const loopbackAddress = '127.0.0.1';

/** Proxies TCP connections to a listener and injects faults into them. */
export class StreamFaultProxy {
	readonly #server: Server;
	readonly #pairs = new Set<ConnectionPair>();
	#target: string;
	#behaviour: LinkBehaviour = {type: 'pass'};

	/** @param target - `ip:port` of the listener. */
	constructor(target: string) {
		this.#target = target;
		this.#server = createServer({allowHalfOpen: true}, (socket) => {
			this.#accept(socket);
		});
	}

	/** Address that callers use in place of the target. */
	get address(): string {
		return `${loopbackAddress}:${(this.#server.address() as AddressInfo).port}`;
	}

	async listen(): Promise<void> {
		this.#server.listen(0, loopbackAddress);
		await once(this.#server, 'listening');
	}

	/** Sets the listener to which new connections are proxied. */
	setTarget(target: string): void {
		this.#target = target;
	}

	setBehaviour(behaviour: LinkBehaviour): void {
		this.#behaviour = behaviour;
		for (const pair of this.#pairs) {
			if (behaviour.type === 'reset') {
				this.#reset(pair);
			} else {
				this.#applyBehaviour(pair);
			}
		}
	}

	/** Holds back all bytes of the connections that are open now, for good. New ones work. */
	silenceOpenConnections(): void {
		for (const pair of this.#pairs) {
			pair.isSilenced = true;
			this.#applyBehaviour(pair);
		}
	}

	close(): void {
		this.#server.close();
		for (const pair of this.#pairs) {
			this.#reset(pair);
		}
	}

	#accept(caller: Socket): void {
		if (this.#behaviour.type === 'reset') {
			caller.on('error', () => undefined);
			caller.resetAndDestroy();
			return;
		}

		const separator = this.#target.lastIndexOf(':');
		const port = Number(this.#target.slice(separator + 1));
		const listener = connect({
			host: this.#target.slice(0, separator),
			port,
			allowHalfOpen: true,
			noDelay: true,
		});
		caller.setNoDelay(true);
		const pair = {caller, listener, isSilenced: false};
		this.#pairs.add(pair);
		this.#forward(pair, 'to-listener');
		this.#forward(pair, 'to-caller');
		this.#applyBehaviour(pair);
	}

	#forward(pair: ConnectionPair, direction: Direction): void {
		const [from, to] =
			direction === 'to-listener' ? [pair.caller, pair.listener] : [pair.listener, pair.caller];
		const queue = new DelayQueue();
		from.on('data', (bytes) => {
			queue.push(this.#delayMs, () => {
				if (!to.destroyed) {
					to.write(bytes);
				}
			});
		});
		from.on('end', () => {
			queue.push(this.#delayMs, () => {
				to.end();
			});
		});
		from.on('error', () => {
			this.#reset(pair);
		});
		from.on('close', () => {
			queue.push(this.#delayMs, () => {
				this.#propagateClose(pair);
			});
		});
	}

	get #delayMs(): number {
		return this.#behaviour.type === 'delay' ? this.#behaviour.delayMs : 0;
	}

	#applyBehaviour({caller, listener, isSilenced}: ConnectionPair): void {
		const type = isSilenced ? 'silence' : this.#behaviour.type;
		setFlow(caller, type !== 'silence' && type !== 'deaf');
		setFlow(listener, type !== 'silence' && type !== 'mute');
	}

	#propagateClose(pair: ConnectionPair): void {
		const {caller, listener} = pair;
		if (caller.destroyed && listener.destroyed) {
			this.#pairs.delete(pair);
		} else if (caller.destroyed) {
			listener.destroy();
		} else if (listener.destroyed) {
			caller.end();
		}
	}

	#reset(pair: ConnectionPair): void {
		this.#pairs.delete(pair);
		pair.caller.resetAndDestroy();
		pair.listener.resetAndDestroy();
	}
}

function setFlow(socket: Socket, isFlowing: boolean): void {
	if (isFlowing) {
		socket.resume();
	} else {
		socket.pause();
	}
}
