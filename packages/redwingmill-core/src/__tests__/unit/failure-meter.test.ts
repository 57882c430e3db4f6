import {expect} from 'chai';
import {FailureMeter, Gate, defaultGateLimits, type GateCall} from '../../index.js';

describe('FailureMeter', () => {
	it('approximates the share of runs that fail', () => {
		const meter = new FailureMeter();
		for (let run = 0; run < 100; run++) {
			meter.record(run % 2 === 0, 0);
		}

		expect(meter.shareAt(0)).to.be.within(0.4, 0.6);
	});

	it('decays while nothing runs, so that a recovered worker gets calls again', () => {
		const meter = new FailureMeter();
		for (let run = 0; run < 100; run++) {
			meter.record(true, 0);
		}

		const share = meter.shareAt(0);
		expect(meter.shareAt(2000)).to.be.closeTo(share / 2, 1e-9);
		expect(meter.shareAt(20_000)).to.be.below(0.01);
	});
});

describe('Gate with a worker that reports failures', () => {
	function callNamed(id: string): GateCall {
		const fields = {service: 'coding', group: '/', rank: 1, deadlineAt: 1e9, crashedNodes: []};
		return {id, ...fields, fingerprint: () => id};
	}

	function gateWith(instance: string): Gate<string> {
		const gate = new Gate<string>(defaultGateLimits, {node: 'node', incarnation: 1}, 0);
		setWorker(gate, instance);
		return gate;
	}

	function setWorker(gate: Gate<string>, instance: string): void {
		gate.setWorker({service: 'coding', address: 'worker', slots: 1, state: 'ready', instance}, 0);
	}

	function run(gate: Gate<string>, id: string, isFailure: boolean, now: number): void {
		gate.submit(callNamed(id), now);
		gate.finish(id, {type: 'answered', payload: '', bytes: 0, isFailure}, now + 1);
	}

	it('includes failures in its load and leaves them out of the run times', () => {
		const gate = gateWith('i-1');
		const {runMs} = gate.loadAt(0);
		run(gate, 'a', true, 10);
		expect(gate.loadAt(11).failureShare).to.be.above(0);
		expect(gate.loadAt(11).runMs).to.equal(runMs);
		run(gate, 'b', false, 20);
		expect(gate.loadAt(21).runMs).not.to.equal(runMs);
	});

	it('resets the failure share for another worker instance', () => {
		const gate = gateWith('i-1');
		run(gate, 'a', true, 10);
		setWorker(gate, 'i-2');
		expect(gate.loadAt(11).failureShare).to.equal(0);
	});
});
