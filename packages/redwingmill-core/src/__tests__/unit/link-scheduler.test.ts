import {expect} from 'chai';
import fc from 'fast-check';
import {defaultGateLimits, Gate, LinkScheduler, type GateCall} from '../../index.js';

const seed = 31;
/** Carries 1,000 bytes in a millisecond. */
const linkMbps = 8;
const kilobyte = 1000;

function transferOf(kilobytes: number, dueAt: number, deadlineAt = 1e6) {
	return {bytes: kilobytes * kilobyte, dueAt, deadlineAt};
}

describe('LinkScheduler', () => {
	it('sends responses one after the other by due time', () => {
		const link = new LinkScheduler(linkMbps);
		const first = link.add(transferOf(90, 500));
		expect(link.takeDue(0)).to.deep.equal([first]);
		const later = link.add(transferOf(90, 400));
		const sooner = link.add(transferOf(90, 300));
		link.onTaken(first);
		expect(link.takeDue(89)).to.deep.equal([]);
		expect(link.takeDue(90)).to.deep.equal([sooner]);
		link.onTaken(sooner);
		expect(link.takeDue(180)).to.deep.equal([later]);
	});

	it('expects to wait for all bytes that are not sent yet', () => {
		const link = new LinkScheduler(linkMbps);
		link.add(transferOf(90, 500));
		link.add(transferOf(60, 500));
		expect(link.expectedWaitMs(0)).to.equal(150);
		link.takeDue(0);
		expect(link.expectedWaitMs(30)).to.equal(120);
		expect(link.expectedWaitMs(1000)).to.equal(60);
	});

	it('lets a receiver that has left free its turn', () => {
		const link = new LinkScheduler(linkMbps);
		const first = link.add(transferOf(90, 1));
		const left = link.add(transferOf(90, 2));
		const last = link.add(transferOf(90, 3));
		link.takeDue(0);
		link.remove(left);
		link.remove(first);
		expect(link.takeDue(1)).to.deep.equal([last]);
	});

	it('does not wait long for a receiver that takes its response slowly', () => {
		const link = new LinkScheduler(linkMbps);
		link.add(transferOf(90, 1));
		const next = link.add(transferOf(90, 2));
		link.takeDue(0);
		expect(link.takeDue(179)).to.deep.equal([]);
		expect(link.takeDue(180)).to.deep.equal([next]);
	});

	it('never holds a response past its deadline', () => {
		const link = new LinkScheduler(linkMbps);
		link.add(transferOf(900, 1));
		const urgent = link.add(transferOf(90, 2, 40));
		link.takeDue(0);
		expect(link.wakeAt).to.equal(40);
		expect(link.takeDue(40)).to.deep.equal([urgent]);
	});

	it('sends every response once, in time that the bytes before it take, whatever the order of events', () => {
		const responses = fc.array(
			fc.record({
				gapMs: fc.nat(60),
				kilobytes: fc.integer({min: 33, max: 200}),
				dueMs: fc.nat(800),
			}),
			{maxLength: 30},
		);
		fc.assert(
			fc.property(responses, (arrivals) => {
				const link = new LinkScheduler(linkMbps);
				const sent: number[] = [];
				let now = 0;
				let latestEnd = 0;
				const take = () => {
					for (const id of link.takeDue(now)) {
						sent.push(id);
						link.onTaken(id);
					}
				};

				const wakeUntil = (until: number) => {
					let at = link.wakeAt;
					while (at !== undefined && at <= until) {
						now = Math.max(now, at);
						take();
						at = link.wakeAt;
					}
				};

				for (const {gapMs, kilobytes, dueMs} of arrivals) {
					wakeUntil(now + gapMs);
					now += gapMs;
					latestEnd = Math.max(latestEnd, now) + kilobytes;
					link.add(transferOf(kilobytes, now + dueMs));
					take();
				}

				wakeUntil(1e5);
				expect(new Set(sent).size).to.equal(arrivals.length);
				expect(sent).to.have.length(arrivals.length);
				expect(now).to.be.at.most(latestEnd);
			}),
			{seed},
		);
	});
});

describe('Gate on a narrow link', () => {
	const link = new LinkScheduler(linkMbps);

	function gateWith(slots: number): Gate<string> {
		const gate = new Gate<string>(defaultGateLimits, {node: 'own', incarnation: 1}, 0, link);
		gate.setWorker({service: 'sheets', address: 'worker', slots, state: 'ready'}, 0);
		return gate;
	}

	function callWith(id: string, fields: Partial<GateCall> = {}): GateCall {
		return {
			id,
			service: 'sheets',
			group: '/sheets',
			rank: 1,
			deadlineAt: 400,
			crashedNodes: [],
			isBulk: true,
			fingerprint: () => id,
			...fields,
		};
	}

	it('refuses bulk calls whose responses the link cannot carry in time, although slots are free', () => {
		const gate = gateWith(20);
		const results = Array.from({length: 8}, (_, index) => gate.submit(callWith(`${index}`), 0));
		const refused = results.filter(([effect]) => effect.type === 'answer');
		// A response takes 90 ms on the link, so that four of them end within 400 ms.
		expect(refused).to.have.length(4);
		expect(refused[0][0]).to.have.nested.property('answer.retryAfterMs', 360);
		expect(gate.loadAt(0).waitMs).to.equal(360);
	});

	it('admits other calls while bulk responses wait for the link', () => {
		const gate = gateWith(20);
		for (let index = 0; index < 8; index += 1) {
			gate.submit(callWith(`${index}`), 0);
		}

		const [effect] = gate.submit(callWith('note', {isBulk: false, group: '/notes'}), 0);
		expect(effect.type).to.equal('dispatch');
	});
});
