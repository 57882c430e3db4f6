import {expect} from 'chai';
import fc from 'fast-check';
import {WorkerAllowance} from '../../index.js';

const seed = 41;
const windowMs = 4000;
const limits = [0, 0.3, 1, 15, 200];

function toleratedAt(limit: number): number {
	return 1.5 * limit * (windowMs / 1000) + 5;
}

function limitedTo(limit: number): WorkerAllowance {
	const allowance = new WorkerAllowance();
	allowance.setLimit(limit, 0);
	return allowance;
}

/** Sends as many calls as are allowed at `now`, up to `count`; returns how many. */
function send(allowance: WorkerAllowance, count: number, now: number): number {
	let sent = 0;
	while (sent < count && allowance.waitMs(now) === 0) {
		allowance.record(now);
		sent += 1;
	}

	return sent;
}

type Step =
	| {readonly type: 'wait'; readonly ms: number}
	| {readonly type: 'limit'; readonly limit: number}
	| {readonly type: 'lift'}
	| {readonly type: 'send'; readonly count: number};

/** An allowance under a series of steps, and the calls sent since its worker first had a limit. */
class Play {
	readonly #allowance = new WorkerAllowance();
	#limit: number | undefined;
	#sentAt: number[] = [];
	#now = 0;
	#hadLimit = false;

	/** Performs a step. Throws if more calls were sent than the worker tolerates. */
	perform(step: Step): void {
		switch (step.type) {
			case 'wait': {
				this.#now += step.ms;
				break;
			}

			case 'limit': {
				// Calls from before the first limit are none of its concern.
				this.#sentAt = this.#hadLimit ? this.#sentAt : [];
				this.#hadLimit = true;
				this.#setLimit(step.limit);
				break;
			}

			case 'lift': {
				this.#setLimit(undefined);
				break;
			}

			case 'send': {
				this.#send(step.count);
				break;
			}
		}
	}

	#setLimit(limit: number | undefined): void {
		this.#limit = limit;
		this.#allowance.setLimit(limit, this.#now);
	}

	#send(count: number): void {
		const sent = send(this.#allowance, count, this.#now);
		this.#sentAt.push(...Array.from({length: sent}, () => this.#now));
		const inWindow = this.#sentAt.filter((at) => at > this.#now - windowMs).length;
		if (this.#limit !== undefined && sent > 0) {
			expect(inWindow).to.be.at.most(toleratedAt(this.#limit));
		}
	}
}

describe('WorkerAllowance', () => {
	it('allows any number of calls while there is no limit', () => {
		expect(send(new WorkerAllowance(), 1000, 0)).to.equal(1000);
	});

	it('begins a limit without saved calls', () => {
		const allowance = limitedTo(20);
		expect(send(allowance, 10, 0)).to.equal(0);
		expect(allowance.waitMs(0)).to.equal(50);
		expect(send(allowance, 10, 50)).to.equal(1);
	});

	it('saves no more than a quarter of a second of calls, however long none is sent', () => {
		expect(send(limitedTo(20), 100, 60_000)).to.equal(6);
	});

	it('uses the limit in full under steady load, checked every 20 ms', () => {
		for (const limit of [1, 5, 15, 20.6, 200]) {
			const allowance = limitedTo(limit);
			let sent = 0;
			for (let now = 0; now <= 60_000; now += 20) {
				sent += send(allowance, 100, now);
			}

			expect(sent, `limit ${limit}`).to.be.at.least(0.98 * limit * 60);
		}
	});

	it('sends a call now and then at a limit of 0, or nobody would learn of its end', () => {
		const allowance = limitedTo(0);
		let sent = 0;
		for (let now = 0; now <= 20_000; now += 20) {
			sent += send(allowance, 100, now);
		}

		expect(sent).to.be.within(5, 11);
	});

	it('drops what was saved when the limit is lowered', () => {
		const allowance = limitedTo(200);
		allowance.waitMs(10_000);
		allowance.setLimit(1, 10_000);
		expect(send(allowance, 100, 10_000)).to.equal(1);
	});

	it('counts the calls of the last 4 s against a lowered limit', () => {
		const allowance = limitedTo(200);
		for (let now = 0; now <= 4000; now += 20) {
			send(allowance, 100, now);
		}

		allowance.setLimit(5, 4000);
		expect(send(allowance, 100, 6000)).to.equal(0);
		expect(send(allowance, 100, 8300)).to.be.greaterThan(0);
	});

	it('reports how long it takes until a call may be sent, or for how long calls were saved', () => {
		const allowance = limitedTo(10);
		expect(allowance.reportAt(0, 2)).to.deep.equal({perSecond: 10, waitMs: 300});
		expect(allowance.reportAt(10_000, 0)).to.deep.equal({perSecond: 10, waitMs: -250});
		expect(new WorkerAllowance().reportAt(0, 0)).to.equal(undefined);
	});

	it('sends no more in any 4 s than the worker tolerates, through any changes of its limit', () => {
		const step = fc.oneof(
			fc.record({type: fc.constant('wait' as const), ms: fc.integer({min: 0, max: 3000})}),
			fc.record({type: fc.constant('limit' as const), limit: fc.constantFrom(...limits)}),
			fc.record({type: fc.constant('lift' as const)}),
			fc.record({type: fc.constant('send' as const), count: fc.integer({min: 1, max: 300})}),
		);
		fc.assert(
			fc.property(fc.array(step, {maxLength: 120}), (steps) => {
				const play = new Play();
				for (const each of steps) {
					play.perform(each);
				}
			}),
			{seed, numRuns: 2000},
		);
	});
});
