import {connect} from 'node:net';
import {splitAddress} from '../address.js';

/** Time within which a worker must accept the connection to count as alive. */
const crashCheckTimeoutMs = 200;

/**
 * Returns whether a worker still accepts TCP connections. After an exchange broke, this
 * distinguishes a crash of the worker from the loss of a single connection.
 */
export async function isAlive(address: string): Promise<boolean> {
	const {host, port} = splitAddress(address);
	return new Promise((resolve) => {
		const socket = connect({host, port, timeout: crashCheckTimeoutMs});
		const finish = (isConnected: boolean) => {
			socket.destroy();
			resolve(isConnected);
		};

		socket.once('connect', () => {
			finish(true);
		});
		socket.once('timeout', () => {
			finish(false);
		});
		socket.once('error', () => {
			finish(false);
		});
	});
}
