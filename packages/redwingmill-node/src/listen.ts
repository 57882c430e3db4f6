import {type Server} from 'node:net';
import {splitAddress} from './address.js';
import {ListenError} from './errors.js';

/**
 * Starts listening on an `ip:port` address. Throws {@link ListenError} on failure.
 *
 * @param purpose - what the server accepts, such as "calls"; used in the error message.
 */
export async function listenOn(server: Server, address: string, purpose: string): Promise<void> {
	const {host, port} = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', (error) => {
			reject(new ListenError(`Cannot listen for ${purpose} on ${address}`, {cause: error}));
		});
		server.listen(port, host, resolve);
	});
}
