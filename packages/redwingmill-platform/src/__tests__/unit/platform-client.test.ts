import {expect} from 'chai';
import {type PlatformObject} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {PlatformClient, PlatformServer, PlatformWatcher, StaleListError} from '../../index.js';

const host = '127.0.0.1';

function acceptance(resourceVersion: number, number: number): PlatformObject {
	return {
		kind: 'Acceptance',
		name: 'main',
		resourceVersion,
		spec: {version: {number, digest: '0'}, text: '{}', absent: []},
	};
}

async function withPlatform(
	use: (server: PlatformServer, client: PlatformClient) => Promise<void>,
): Promise<void> {
	const server = new PlatformServer();
	const client = new PlatformClient(await server.listen(host, 0));
	try {
		await use(server, client);
	} finally {
		await client.close();
		await server.close();
	}
}

/** Runs a watcher until `isDone` returns true; resolves with the objects received so far. */
async function watchUntil(
	client: PlatformClient,
	isDone: (seen: readonly PlatformObject[], isCurrent: boolean) => boolean,
	onStarted?: () => Promise<void>,
): Promise<readonly PlatformObject[]> {
	const seen: PlatformObject[] = [];
	let isCurrent = false;
	return new Promise((resolve, reject) => {
		const check = () => {
			if (isDone(seen, isCurrent)) {
				stop();
				resolve(seen);
			}
		};

		const watcher = new PlatformWatcher(
			client,
			{
				onObject(object) {
					seen.push(object);
					check();
				},
				onCurrent(isNowCurrent) {
					isCurrent = isNowCurrent;
					check();
				},
				onRetry: () => undefined,
			},
			new Random(1),
		);
		const stop = watcher.start();
		onStarted?.().catch(reject);
	});
}

describe('PlatformClient and PlatformWatcher with the stand-in platform server', () => {
	it('writes an object only if its resource version is the stored one', async () => {
		await withPlatform(async (_server, client) => {
			const first = await client.write(acceptance(0, 1));
			expect(first).to.deep.equal({type: 'written', resourceVersion: 1});
			expect(await client.write(acceptance(0, 2))).to.deep.equal({type: 'conflict'});
			expect(await client.write(acceptance(9, 2))).to.deep.equal({type: 'conflict'});
			expect(await client.write(acceptance(1, 2))).to.include({type: 'written'});
			const read = await client.read('Acceptance', 'main');
			expect(read.type === 'found' && read.object.resourceVersion).to.equal(2);
			expect(await client.read('DataCentre', 'none')).to.deep.equal({type: 'missing'});
		});
	});

	it('reports an unknown outcome if the response to a write is lost, and the write takes effect', async () => {
		await withPlatform(async (server, client) => {
			server.setFault({lostAnswers: 1});
			expect(await client.write(acceptance(0, 1))).to.deep.equal({type: 'unknown'});
			expect(await client.read('Acceptance', 'main')).to.include({type: 'found'});
		});
	});

	it('reports reads and writes that the rate limit rejects as failed', async () => {
		await withPlatform(async (server, client) => {
			server.setFault({callsPerSecond: 0.001});
			expect(await client.write(acceptance(0, 1))).to.deep.equal({type: 'failed'});
			expect(await client.read('Acceptance', 'main')).to.deep.equal({type: 'failed'});
			expect(server.counters.refused).to.equal(2);
		});
	});

	it("reports a write as failed if the object exceeds the platform's size limit", async () => {
		await withPlatform(async (_server, client) => {
			const large = acceptance(0, 1);
			const spec = {version: {number: 1, digest: '0'}, text: 'x'.repeat(1_100_000), absent: []};
			const outcome = await client.write({...large, spec} as PlatformObject);
			expect(outcome).to.deep.equal({type: 'failed'});
		});
	});

	it('rejects a list that is older than a version it has already seen', async () => {
		await withPlatform(async (server, client) => {
			server.setFault({isListStale: true});
			await client.write(acceptance(0, 1));
			let error: unknown;
			try {
				await client.list('Acceptance');
			} catch (error_) {
				error = error_;
			}

			expect(error).to.be.instanceOf(StaleListError);
			server.setFault({isListStale: false});
			const list = await client.list('Acceptance');
			expect(list.objects.length).to.equal(1);
		});
	});

	it('reports changes, and lists again once its watch has expired', async () => {
		await withPlatform(async (server, client) => {
			await client.write(acceptance(0, 1));
			const seen = await watchUntil(client, (objects) =>
				objects.some((object) => object.resourceVersion === 1),
			);
			expect(seen.length).to.be.at.least(1);
			let hasExpired = false;
			await watchUntil(client, (objects, isCurrent) => {
				if (isCurrent && !hasExpired) {
					hasExpired = true;
					server.expireWatches();
					void client.write(acceptance(1, 2));
				}

				return objects.some((object) => object.resourceVersion === 2);
			});
		});
	});

	it('reports that it is current while the server counts three open watches and at least six reads', async () => {
		await withPlatform(async (server, client) => {
			await watchUntil(client, (_objects, isCurrent) => isCurrent && server.counters.watches === 3);
			expect(server.counters.reads).to.be.at.least(6);
		});
	});
});
