import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {AdaptiveThrottle} from '../../index.js';

const orders = {group: 'orders'};
/** Calls for which a gate that was idle has room at once. */
const roomLimit = 8;

/** Sends calls to gates that admit the given number a second. Returns the shares refused here and sent. */
function play(
	throttle: AdaptiveThrottle,
	perSecond: number,
	admittedPerSecond: number,
	fromMs = 0,
) {
	let refused = 0;
	let sent = 0;
	let room = 0;
	const calls = perSecond * 5;
	for (let call = 0; call < calls; call += 1) {
		const now = fromMs + (call / perSecond) * 1000;
		room = Math.min(roomLimit, room + admittedPerSecond / perSecond);
		if (throttle.refuses(orders, now)) {
			refused += 1;
			continue;
		}

		sent += 1;
		if (room >= 1) {
			room -= 1;
			throttle.onAdmitted(orders, now);
		} else {
			throttle.onRefused(orders, 400, now);
		}
	}

	return {refused: refused / calls, sentPerSecond: sent / 5};
}

describe('the throttle of an entry', () => {
	it('refuses no call while gates admit all of them', () => {
		expect(play(new AdaptiveThrottle(new Random(1)), 100, 100).refused).to.equal(0);
	});

	it('lets hardly more calls cost an exchange than gates admit when twice as many are sent', () => {
		const {sentPerSecond} = play(new AdaptiveThrottle(new Random(1)), 100, 50);
		expect(sentPerSecond).to.be.within(50, 70);
	});

	it('goes on asking when gates admit nothing, and refuses nothing soon after there is room', () => {
		const throttle = new AdaptiveThrottle(new Random(1));
		expect(play(throttle, 100, 0).sentPerSecond).to.be.above(1);
		play(throttle, 100, 100, 5000);
		expect(play(throttle, 100, 100, 10_000).refused).to.equal(0);
	});

	it('asks less often while nodes lack processor time', () => {
		const scarce = {...orders, transitShare: 0.1};
		const sent = [orders, scarce].map((call) => {
			const throttle = new AdaptiveThrottle(new Random(1));
			let count = 0;
			for (let now = 0; now < 5000; now += 5) {
				if (!throttle.refuses(call, now)) {
					count += 1;
					throttle.onRefused(call, 400, now);
				}
			}

			return count;
		});
		expect(sent[1]).to.be.within(1, sent[0] / 4);
	});

	it('refuses no calls of another group', () => {
		const throttle = new AdaptiveThrottle(new Random(1));
		play(throttle, 100, 0);
		expect(throttle.refuses({group: 'others'}, 5000)).to.equal(false);
	});

	it('states the time to retry that gates state', () => {
		const throttle = new AdaptiveThrottle(new Random(1));
		play(throttle, 100, 0);
		expect(throttle.retryAfterMs(orders)).to.be.closeTo(400, 10);
	});

	it('refuses calls of the workspace that sends most, not those of the others', () => {
		const throttle = new AdaptiveThrottle(new Random(1));
		const refused = {hot: 0, calm: 0};
		let room = 0;
		for (let now = 0; now < 5000; now += 10) {
			// Every tenth call is of the calm workspace; gates have room for half of all.
			const name = now % 100 === 0 ? 'calm' : 'hot';
			const call = {group: 'orders', workspace: {name, rank: 1}};
			room = Math.min(roomLimit, room + 0.5);
			if (throttle.refuses(call, now)) {
				refused[name] += 1;
			} else if (room >= 1) {
				room -= 1;
				throttle.onAdmitted(call, now);
			} else {
				throttle.onRefused(call, 400, now);
			}
		}

		expect(refused.hot).to.be.above(100);
		expect(refused.calm).to.equal(0);
	});
});
