import {request as sendRequest} from 'node:http';
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';

/** Returns a new request id. */
export function newId() {
	return randomBytes(8).toString('hex');
}

/**
 * Sends a request and resolves with its answer; never rejects. Status 0 stands for a connection that ended
 * without a complete answer, with the error's code as `error`. `isReused` tells whether the connection had been
 * kept from an earlier request.
 */
export async function send(address, options) {
	const {method = 'GET', path, headers = {}, body, agent, timeoutMs = 10_000, signal} = options;
	const separator = address.lastIndexOf(':');
	return new Promise((resolve) => {
		const request = sendRequest(
			{
				host: address.slice(0, separator),
				port: Number(address.slice(separator + 1)),
				method,
				path,
				headers,
				agent,
				signal,
				timeout: timeoutMs,
			},
			(response) => {
				const parts = [];
				response.on('data', (part) => {
					parts.push(part);
				});
				response.on('end', () => {
					resolve({
						status: response.statusCode,
						isReused: request.reusedSocket,
						headers: response.headers,
						body: Buffer.concat(parts),
					});
				});
				response.on('error', (error) => {
					resolve({status: 0, error: error.code ?? error.message});
				});
			},
		);
		request.on('timeout', () => {
			request.destroy(new TypeError('TIMEOUT'));
		});
		request.on('error', (error) => {
			resolve({status: 0, error: error.code ?? error.message, isReused: request.reusedSocket});
		});
		request.end(body);
	});
}
