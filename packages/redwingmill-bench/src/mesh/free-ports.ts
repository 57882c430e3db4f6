import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';

const loopback = '127.0.0.1';

/** Returns loopback addresses (`ip:port`) whose ports are free at the time of the call. */
export async function findFreeAddresses(count: number): Promise<string[]> {
	const servers: Server[] = [];
	for (let index = 0; index < count; index++) {
		const server = createServer();
		server.listen(0, loopback);
		servers.push(server);
	}

	await Promise.all(servers.map(async (server) => once(server, 'listening')));
	const addresses = servers.map(
		(server) => `${loopback}:${(server.address() as AddressInfo).port}`,
	);
	await Promise.all(
		servers.map(
			async (server) =>
				new Promise<void>((resolve) => {
					server.close(() => {
						resolve();
					});
				}),
		),
	);
	return addresses;
}
