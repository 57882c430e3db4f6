import {expect} from 'chai';
import {ConfigurationFetcher} from '../../control/configuration-fetcher.js';
import {type ConfigurationReply} from '../../control/configuration-history.js';
import {type ConfigurationReadResult} from '../../control/store-ports.js';

const gate = '10.0.0.1:8300';
const position = {era: 0, revision: 7};

/** A fetcher whose store and node answer when the test says so. */
function createFetcher() {
	const applied: string[] = [];
	const storeAnswers: Array<(result: ConfigurationReadResult) => void> = [];
	const nodeAnswers: Array<(reply: ConfigurationReply) => void> = [];
	const signals: AbortSignal[] = [];
	const asked = new Array<number | undefined>();
	const fetcher = new ConfigurationFetcher({
		readStore: async (signal) =>
			new Promise((resolve) => {
				signals.push(signal);
				storeAnswers.push(resolve);
			}),
		askNode: async (_address, since) =>
			new Promise((resolve) => {
				asked.push(since);
				nodeAnswers.push(resolve);
			}),
		applySource(source) {
			applied.push(`store ${String(source)}`);
			return true;
		},
		applyReply(reply) {
			applied.push(`node ${reply.type}`);
			return reply.type !== 'none';
		},
	});
	return {fetcher, applied, storeAnswers, nodeAnswers, signals, asked};
}

async function waitFor(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise((resolve) => {
			setTimeout(resolve, 5);
		});
	}
}

describe('ConfigurationFetcher', () => {
	it('fetches one whole configuration at a time, however often it is asked to', async () => {
		const {fetcher, storeAnswers, signals, asked, applied} = createFetcher();
		const fetching = fetcher.fetch(gate, undefined);
		await waitFor(() => asked.length > 0);
		await fetcher.fetch(gate, undefined);
		await fetcher.fetch(gate, undefined);
		expect([signals.length, asked.length]).to.deep.equal([1, 1]);
		storeAnswers[0]({type: 'found', source: 'a', position});
		await fetching;
		expect(applied).to.deep.equal(['store a']);
	});

	it('asks no node when the store answers at once', async () => {
		const {fetcher, storeAnswers, asked, applied} = createFetcher();
		const fetching = fetcher.fetch(gate, undefined);
		storeAnswers[0]({type: 'found', source: 'a', position});
		await fetching;
		expect([asked.length, applied]).to.deep.equal([0, ['store a']]);
	});

	it('abandons a read of the store that fills the link once a node has answered', async () => {
		const {fetcher, nodeAnswers, signals, applied} = createFetcher();
		const fetching = fetcher.fetch(gate, undefined);
		await waitFor(() => nodeAnswers.length > 0);
		nodeAnswers[0]({type: 'whole', source: 'b'});
		await fetching;
		expect(signals[0].aborted).to.equal(true);
		expect(applied).to.deep.equal(['node whole']);
	});

	it('waits for the store when the node has no configuration', async () => {
		const {fetcher, storeAnswers, nodeAnswers, applied} = createFetcher();
		const fetching = fetcher.fetch(gate, undefined);
		await waitFor(() => nodeAnswers.length > 0);
		nodeAnswers[0]({type: 'none'});
		await waitFor(() => applied.length > 0);
		storeAnswers[0]({type: 'found', source: 'a', position});
		await fetching;
		expect(applied).to.deep.equal(['node none', 'store a']);
	});

	it('waits for the node when the store fails', async () => {
		const {fetcher, storeAnswers, nodeAnswers, applied} = createFetcher();
		const fetching = fetcher.fetch(gate, undefined);
		storeAnswers[0]({type: 'failed', reason: 'ECONNREFUSED'});
		await waitFor(() => nodeAnswers.length > 0);
		nodeAnswers[0]({type: 'whole', source: 'b'});
		await fetching;
		expect(applied).to.deep.equal(['node whole']);
	});

	it('asks for a patch while a whole configuration is on its way', async () => {
		const {fetcher, nodeAnswers, storeAnswers, asked, applied} = createFetcher();
		const whole = fetcher.fetch(gate, undefined);
		const patch = fetcher.fetch(gate, 6);
		expect(asked).to.deep.equal([6]);
		nodeAnswers[0]({type: 'change', base: 6, patch: {}});
		storeAnswers[0]({type: 'found', source: 'a', position});
		await Promise.all([whole, patch]);
		expect(applied).to.have.members(['node change', 'store a']);
	});
});
