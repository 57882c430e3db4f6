import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {
	AdaptiveThrottle,
	EndpointChooser,
	EntryCall,
	RetryBudget,
	type AttemptResult,
	type Endpoint,
	type EntryAction,
	type NotRunReason,
	type WorkerLoad,
} from '../../index.js';

const now = 10_000;
const slots = 4;
const targetMs = 400;

function endpointOf(node: string): Endpoint {
	const worker = `${node}/1`;
	return {node, gateAddress: node, dataCentre: 'dc-a', incarnation: 1, service: 's', slots, worker};
}

function loadOf(callsPerSlot: number): WorkerLoad {
	return {callsPerSlot, waitMs: 0, runMs: 100, failureShare: 0};
}

/** Returns a new call among these endpoints. */
function newCall(
	chooser: EndpointChooser,
	endpoints: readonly Endpoint[],
	throttle?: AdaptiveThrottle,
): EntryCall<string> {
	chooser.retain(endpoints, now);
	return new EntryCall<string>(
		{
			group: 'g',
			retryAllowance: {share: 0.1, slack: 5},
			isIdempotent: true,
			targetAt: now + targetMs,
			targetMs,
			deadlineAt: now + 1000,
			endpoints,
			withdraws: true,
			maximumAttempts: 2,
		},
		chooser,
		new RetryBudget(10_000),
		throttle,
	);
}

/** Starts a call among replicas whose gates have just reported these calls per slot. */
function startCall(callsPerSlot: Readonly<Record<string, number>>, throttle?: AdaptiveThrottle) {
	const options = {policy: 'even-load', slowStartMs: 0, dataCentre: 'dc-a'} as const;
	const chooser = new EndpointChooser(options, new Random(1));
	const endpoints = Object.keys(callsPerSlot).map((node) => endpointOf(node));
	const call = newCall(chooser, endpoints, throttle);
	for (const endpoint of endpoints) {
		chooser.onLoad(endpoint, loadOf(callsPerSlot[endpoint.node]), now);
	}

	return {call, first: call.begin(now), chooser};
}

function idleThrottle(): AdaptiveThrottle {
	return new AdaptiveThrottle(new Random(1));
}

/** Returns a throttle whose gates have refused all calls of the group lately. */
function fullThrottle(): AdaptiveThrottle {
	const throttle = idleThrottle();
	for (let call = 0; call < 100; call += 1) {
		throttle.onRefused({group: 'g'}, 300, now);
	}

	return throttle;
}

/** Starts a call at a node whose own worker has these calls per slot. */
function startThrottledCall(ownCallsPerSlot: number) {
	const own = {node: 'own', load: () => loadOf(ownCallsPerSlot)};
	const options = {policy: 'even-load', slowStartMs: 0, dataCentre: 'dc-a', ownNode: own} as const;
	const chooser = new EndpointChooser(options, new Random(1));
	const endpoints = [endpointOf('own'), endpointOf('other')];
	return newCall(chooser, endpoints, fullThrottle()).begin(now);
}

function refusal(reason: NotRunReason, callsPerSlot: number): AttemptResult<string> {
	const outcome = {type: 'not-run', reason} as const;
	const load = loadOf(callsPerSlot);
	return {type: 'answered', answer: {outcome, retryAfterMs: 200, load, isRetried: false}};
}

/** Refuses each attempt with the load that its gate reported before. Returns the nodes asked. */
function refuseAll(callsPerSlot: Readonly<Record<string, number>>, reason: NotRunReason) {
	const {call, first} = startCall(callsPerSlot);
	const nodes: string[] = [];
	let action: EntryAction<string> = first;
	while (action.type === 'attempt') {
		const {node} = action.endpoint;
		nodes.push(node);
		action = call.onAttempt(refusal(reason, callsPerSlot[node]), now);
	}

	return {nodes, action};
}

/**
 * Has a busy worker's gate refuse a call once another one has reported its load. Returns the next action.
 *
 * @param transitMs - time of attempts on their way; by default one that shows a lack of processor time.
 */
function refuseFirst(
	otherCallsPerSlot: number,
	throttle: AdaptiveThrottle | undefined,
	transitMs = 100,
) {
	const busy = 3;
	const {call, first, chooser} = startCall({a: busy, b: busy}, throttle);
	chooser.onTransit(transitMs, now);
	const asked = first.type === 'attempt' ? first.endpoint.node : undefined;
	chooser.onLoad(endpointOf(asked === 'a' ? 'b' : 'a'), loadOf(otherCallsPerSlot), now);
	return call.onAttempt(refusal('queue-too-slow', busy), now);
}

describe('a call that a gate refuses because its worker has too many calls', () => {
	const alike = {a: 2, b: 2, c: 2, d: 2, e: 2};

	for (const reason of ['queue-too-slow', 'deadline-too-close', 'queue-full'] as const) {
		it(`is refused at once after ${reason} when the other workers are as busy`, () => {
			const {nodes, action} = refuseAll(alike, reason);
			expect(nodes).to.have.length(1);
			expect(action.type === 'answer' && action.answer).to.deep.include({
				outcome: {type: 'not-run', reason},
				retryAfterMs: 200,
			});
		});
	}

	it('goes on to a worker that has room, and asks none as busy after that', () => {
		const {nodes} = refuseAll({...alike, roomy: 0.5}, 'queue-too-slow');
		expect(nodes.at(-1)).to.equal('roomy');
		expect(nodes.length).to.be.at.most(2);
	});

	it('still goes to other workers that are as busy when it was refused for another cause', () => {
		const {nodes} = refuseAll(alike, 'draining');
		expect(nodes.length).to.be.above(1);
	});
});

describe('a call that a gate refuses while another worker is less busy', () => {
	const lessBusy = 1.1;
	const withFreeSlot = 0.5;

	it('goes on if the other worker has a free slot', () => {
		expect(refuseFirst(withFreeSlot, idleThrottle()).type).to.equal('attempt');
	});

	it('is refused at once if the other worker has none', () => {
		expect(refuseFirst(lessBusy, idleThrottle()).type).to.equal('answer');
	});

	it('goes on in any case while nodes have processor time to spare', () => {
		expect(refuseFirst(lessBusy, idleThrottle(), 1).type).to.equal('attempt');
	});

	it('goes on in any case if it is made by a run, which holds a slot', () => {
		expect(refuseFirst(lessBusy, undefined).type).to.equal('attempt');
	});
});

describe('a call while gates refuse nearly all of its group', () => {
	it('is refused before any gate is asked, with the time to retry that they state', () => {
		const action = startThrottledCall(1);
		expect(action.type === 'answer' && action).to.deep.include({attempts: 0});
		const {outcome, retryAfterMs} = (action as Extract<EntryAction<string>, {type: 'answer'}>)
			.answer;
		expect(outcome).to.deep.equal({type: 'not-run', reason: 'throttled'});
		expect(retryAfterMs).to.be.closeTo(300, 1);
	});

	it('still runs at the own worker while that has a free slot', () => {
		const action = startThrottledCall(0.5);
		expect(action.type === 'attempt' && action.endpoint.node).to.equal('own');
	});
});

describe('the time of attempts on their way', () => {
	it('is taken off the time that the gates of later calls have', () => {
		const {call, first, chooser} = startCall({a: 0});
		expect(first.type === 'attempt' && first.transitMs).to.equal(0);
		const load = loadOf(0);
		const answer = {outcome: {type: 'ran'}, load, isRetried: false, heldMs: 100} as const;
		call.onAttempt({type: 'answered', answer}, now + 160);
		expect(chooser.transitMsTo(endpointOf('b'))).to.be.at.least(60);
	});
});
