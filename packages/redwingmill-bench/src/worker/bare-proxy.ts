import {createServer} from 'node:http';
import process from 'node:process';
import {Pool} from 'undici';

/**
 * Forwards every request as a GET without a body and decides nothing: the least cost of a proxy hop.
 * Arguments: the address to listen at and the address to forward to, each `ip:port`.
 */
const [address, next] = process.argv.slice(2);
const [host, port] = address.split(':');
const pool = new Pool(`http://${next}`, {connections: 32, pipelining: 1});

createServer((incoming, response) => {
	pool
		.request({method: 'GET', path: incoming.url ?? '/', headers: {...incoming.headers}})
		.then(async ({statusCode, body}) => {
			const bytes = await body.bytes();
			response.writeHead(statusCode, {'content-length': bytes.length});
			response.end(bytes);
		})
		.catch(() => {
			response.destroy();
		});
}).listen(Number(port), host);
