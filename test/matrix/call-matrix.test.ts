import {expect} from 'chai';
import {
	callSteps,
	FakeCallPath,
	type CallStep,
	type FakeHost,
	type PlannedCall,
} from '../support/fake-call-path.js';

type Fault = (path: FakeCallPath, host: FakeHost | undefined) => void;

const seed = 20_261_204;
/** Bound on the result of a call: up to three sends of 1000 ms, each with 100 ms for the network. */
const answerBoundMs = 3 * 1100;
const runMs = 5000;
const gatePauseMs = 400;
const workerRestartMs = 300;
/** Shorter than the calls' time, longer than the time in which a reachable gate answers a withdrawal. */
const cutOffMs = 700;
/** Ordinal numbers of the visit to a step at which the fault is injected, one run for each. */
const occurrences = [1, 2, 3, 4, 6, 9] as const;

const faults: Readonly<Record<string, Fault>> = {
	'no fault': () => undefined,
	'caller disconnects'(path) {
		path.isCallerDisconnected = true;
	},
	'connection refused'(path, host) {
		if (host) {
			path.killGate(host);
		}
	},
	'connection reset'(path) {
		path.breaksRequest = true;
	},
	'request arrives after the reset'(path) {
		path.breaksRequest = true;
		path.lateArrivalMs = 30;
	},
	'request arrives before the withdrawal'(path) {
		path.breaksRequest = true;
		path.lateArrivalMs = 0.5;
	},
	'answer lost'(path) {
		path.breaksAnswer = true;
	},
	'half-open connection'(path, host) {
		if (host) {
			path.pauseGate(host);
		}
	},
	'gate paused'(path, host) {
		if (host) {
			path.pauseGate(host);
			path.clock.after(gatePauseMs, () => {
				path.resumeGate(host);
			});
		}
	},
	'entry node crashes'(path) {
		path.isEntryUp = false;
	},
	'gate node crashes'(path, host) {
		if (host) {
			path.killGate(host);
		}
	},
	'worker crashes'(path, host) {
		if (host) {
			host.isWorkerUp = false;
			path.clock.after(workerRestartMs, () => {
				host.isWorkerUp = true;
			});
		}
	},
	'worker stalls'(_path, host) {
		if (host) {
			host.stalls = true;
		}
	},
	'worker sheds calls'(_path, host) {
		if (host) {
			host.sheds = true;
		}
	},
	'worker drains'(path, host) {
		if (host) {
			path.setWorkerState(host, 'draining');
		}
	},
	'worker starts cold'(path, host) {
		if (host) {
			path.setWorkerState(host, 'starting');
		}
	},
	'all workers crash'(path) {
		for (const host of path.hosts) {
			host.isWorkerUp = false;
		}
	},
	'worker is down but announced as ready'(_path, host) {
		if (host) {
			host.isWorkerUp = false;
		}
	},
	'data centre partitioned during the call'(path, host) {
		if (host) {
			path.breaksAnswer = true;
			path.pauseGate(host);
		}
	},
	'endpoint table stale'(path) {
		for (const host of path.hosts.slice(1)) {
			path.killGate(host);
		}
	},
};

/** Idempotent, ticketed and plain calls; they outnumber the slots, so that some queue. */
function plannedCalls(): PlannedCall[] {
	return Array.from({length: 18}, (_, index) => ({
		name: `call ${index}`,
		isIdempotent: index % 3 === 0,
		hasTicket: index % 3 === 1,
	}));
}

/** Injects the fault at the `occurrence`th visit to the step, with other calls in progress. */
function runCell(step: CallStep, fault: Fault, occurrence: number): FakeCallPath {
	const path = new FakeCallPath(seed);
	let reached = 0;
	path.hook = (each, host) => {
		if (each !== step) {
			return;
		}

		reached += 1;
		if (reached === occurrence) {
			fault(path, host ?? path.hosts[0]);
		}
	};

	if (step === 'resend') {
		path.breaksAnswer = true;
		path.isEntryUp = false;
	}

	for (const call of plannedCalls()) {
		path.call(call);
	}

	path.clock.runUntil(runMs);
	return path;
}

function checkCell(path: FakeCallPath): void {
	for (const call of plannedCalls()) {
		const result = path.results.get(call.name);
		const runs = path.runs.get(call.name) ?? 0;
		expect(result, `${call.name} has a result`).to.not.equal(undefined);
		expect(result?.at).to.be.at.most(answerBoundMs);
		if (!call.isIdempotent) {
			expect(runs, `${call.name} runs at most once`).to.be.at.most(1);
		}

		if (result?.outcome === 'not-run') {
			expect(runs, `${call.name} has the outcome not-run, so no worker ran it`).to.equal(0);
		}

		if (result?.outcome === 'ran') {
			expect(runs, `${call.name} has the outcome ran, so a worker ran it`).to.be.at.least(1);
			expect(result.payload).to.equal(`answer to ${call.name}`);
		}
	}
}

describe('fault matrix of a call', () => {
	for (const step of callSteps) {
		for (const [name, fault] of Object.entries(faults)) {
			it(`${step} × ${name}`, () => {
				for (const occurrence of occurrences) {
					checkCell(runCell(step, fault, occurrence));
				}
			});
		}
	}

	it('gives every call the outcome ran when nothing fails', () => {
		const path = runCell('accept', faults['no fault'], 1);
		const outcomes = plannedCalls().map((call) => path.results.get(call.name)?.outcome);
		expect(new Set(outcomes)).to.deep.equal(new Set(['ran']));
	});

	it('waits for the answer of a worker whose gate is cut off for a while, without running it again', () => {
		const path = new FakeCallPath(seed);
		let cutOff: FakeHost | undefined;
		path.hook = (step, host) => {
			if (step === 'answer head' && host && cutOff === undefined) {
				cutOff = host;
				path.breaksAnswer = true;
				path.pauseGate(host);
				path.clock.after(cutOffMs, () => {
					path.resumeGate(host);
				});
			}
		};

		const calls = plannedCalls().filter(({isIdempotent, hasTicket}) => !isIdempotent && !hasTicket);
		for (const call of calls) {
			path.call(call);
		}

		path.clock.runUntil(runMs);
		expect(cutOff).to.not.equal(undefined);
		for (const {name} of calls) {
			const runs = path.runs.get(name) ?? 0;
			expect(path.results.get(name)?.outcome, name).to.equal(runs === 1 ? 'ran' : 'not-run');
		}
	});

	it('never gives the outcome unknown after a single broken exchange', () => {
		for (const name of ['connection reset', 'request arrives after the reset', 'answer lost']) {
			const path = runCell('connect', faults[name], 2);
			const unknown = plannedCalls().filter(
				(call) => path.results.get(call.name)?.outcome === 'unknown',
			);
			expect(unknown, name).to.deep.equal([]);
		}
	});
});
