import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {EndpointChooser} from '../../call/endpoint-chooser.js';
import {type Endpoint} from '../../model/routing-table.js';

const dataCentres = ['a', 'b', 'c'];
const replicasPerCentre = 10;
const attempts = 3000;
const attemptIntervalMs = 10;
const runMs = 40;
const targetMs = 160;

function endpointsOf(): readonly Endpoint[] {
	return dataCentres.flatMap((dataCentre) =>
		Array.from({length: replicasPerCentre}, (_, index) => ({
			node: `${dataCentre}${index}:1`,
			gateAddress: `${dataCentre}${index}:2`,
			dataCentre,
			incarnation: 1,
			service: 'submission',
			slots: 3,
		})),
	);
}

/** Shares of the attempts of a node in data centre `a`. */
type Shares = {
	readonly remote: number;
	/** Share that went to the first replica. */
	readonly first: number;
};

/** Sends calls one after the other. Gates report the failures of their workers with each answer. */
function play(failureShareOf: (endpoint: Endpoint) => number): Shares {
	const random = new Random(7);
	const chooser = new EndpointChooser(
		{policy: 'even-load', slowStartMs: 0, dataCentre: 'a'},
		new Random(8),
	);
	const endpoints = endpointsOf();
	const reported = new Map<Endpoint, number>();
	chooser.retain(endpoints, 0);
	let remote = 0;
	let first = 0;
	for (let attempt = 0; attempt < attempts; attempt++) {
		const now = attempt * attemptIntervalMs;
		const profile = {group: '/status/', targetAt: now + targetMs};
		const endpoint = chooser.choose(endpoints, new Set(), now, profile) ?? endpoints[0];
		chooser.onSent(endpoint, now);
		remote += endpoint.dataCentre === 'a' ? 0 : 1;
		first += endpoint === endpoints[0] ? 1 : 0;
		const hasFailed = random.fraction() < failureShareOf(endpoint);
		const mean = reported.get(endpoint) ?? 0;
		const failureShare = mean + 0.1 * ((hasFailed ? 1 : 0) - mean);
		reported.set(endpoint, failureShare);
		chooser.onFinished(endpoint, {callsPerSlot: 0.4, waitMs: 0, runMs, failureShare}, now + runMs);
		if (hasFailed) {
			chooser.onFailure(endpoint, now + runMs);
		} else {
			chooser.onSuccess(endpoint);
			chooser.onRunTime(endpoint, profile.group, runMs);
		}
	}

	return {remote: remote / attempts, first: first / attempts};
}

describe('choice among replicas that fail', () => {
	it('stays in the data centre while all replicas fail alike', () => {
		expect(play(() => 0.55).remote).to.be.below(0.05);
	});

	it('stays in the data centre while few calls fail', () => {
		expect(play(() => 0.01).remote).to.be.below(0.05);
	});

	it('avoids a replica that fails more than the others', () => {
		const isFirst = ({node}: Endpoint) => node === 'a0:1';
		expect(play((endpoint) => (isFirst(endpoint) ? 0.9 : 0)).first).to.be.below(0.02);
		expect(play((endpoint) => (isFirst(endpoint) ? 0.95 : 0.3)).first).to.be.below(0.03);
	});

	it('leaves the data centre when only its replicas fail', () => {
		const {remote} = play(({dataCentre}) => (dataCentre === 'a' ? 0.9 : 0));
		expect(remote).to.be.above(0.8);
	});
});
