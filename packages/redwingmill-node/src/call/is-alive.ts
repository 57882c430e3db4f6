import {connect} from 'node:net';
import {splitAddress} from '../address.js';

/** How long a worker that broke off a call has to take a connection to count as alive. */
const crashCheckTimeoutMs = 200;

/** Whether a worker takes connections: one that broke off a call may have ended, or only the call. */
export async function isAlive(address: string): Promise<boolean> {
	const {host, port} = splitAddress(address);
	return new Promise((resolve) => {
		const socket = connect({host, port, timeout: crashCheckTimeoutMs});
		const end = (isConnected: boolean) => {
			socket.destroy();
			resolve(isConnected);
		};

		socket.once('connect', () => {
			end(true);
		});
		socket.once('timeout', () => {
			end(false);
		});
		socket.once('error', () => {
			end(false);
		});
	});
}
