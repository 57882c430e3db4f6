import {expect} from 'chai';
import {
	callSteps,
	FakeCallPath,
	type CallStep,
	type PlannedCall,
	type FakeHost,
} from '../support/fake-call-path.js';

type Fault = (path: FakeCallPath, host: FakeHost | undefined) => void;

const seed = 20_261_204;
/** A final answer is due at the deadline of the last of three sends, with some time to travel. */
const answerBoundMs = 3 * 1100;
const runMs = 5000;
const gatePauseMs = 400;
const workerRestartMs = 300;
/** Which of the calls that reach a step meets the fault. */
const occurrences = [1, 2, 3, 4, 6, 9] as const;

const faults: Readonly<Record<string, Fault>> = {
	'no fault': () => undefined,
	'caller goes away'(path) {
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
	'entry node dies'(path) {
		path.isEntryUp = false;
	},
	'gate node dies'(path, host) {
		if (host) {
			path.killGate(host);
		}
	},
	'worker dies'(path, host) {
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
	'worker sheds'(_path, host) {
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
	'all workers die'(path) {
		for (const host of path.hosts) {
			host.isWorkerUp = false;
		}
	},
	'worker lies about its state'(_path, host) {
		if (host) {
			host.isWorkerUp = false;
		}
	},
	'data centre cut off midway'(path, host) {
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

/** A call of each kind; enough of them that some wait in the queue. */
function plannedCalls(): PlannedCall[] {
	return Array.from({length: 18}, (_, index) => ({
		name: `call ${index}`,
		isIdempotent: index % 3 === 0,
		hasTicket: index % 3 === 1,
	}));
}

/** Breaks the `occurrence`th time that a step is reached, with other calls in progress. */
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

	for (const plan of plannedCalls()) {
		path.call(plan);
	}

	path.clock.runUntil(runMs);
	return path;
}

function checkCell(path: FakeCallPath): void {
	for (const plan of plannedCalls()) {
		const result = path.results.get(plan.name);
		const runs = path.runs.get(plan.name) ?? 0;
		expect(result, `${plan.name} is answered`).to.not.equal(undefined);
		expect(result?.at).to.be.at.most(answerBoundMs);
		if (!plan.isIdempotent) {
			expect(runs, `${plan.name} runs at most once`).to.be.at.most(1);
		}

		if (result?.outcome === 'not-run') {
			expect(runs, `${plan.name} truly didn't run`).to.equal(0);
		}

		if (result?.outcome === 'ran') {
			expect(runs, `${plan.name} ran`).to.be.at.least(1);
			expect(result.payload).to.equal(`answer to ${plan.name}`);
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

	it('answers every call when nothing fails', () => {
		const path = runCell('accept', faults['no fault'], 1);
		const outcomes = plannedCalls().map((plan) => path.results.get(plan.name)?.outcome);
		expect(new Set(outcomes)).to.deep.equal(new Set(['ran']));
	});

	it('turns a broken exchange into a certain answer', () => {
		for (const name of ['connection reset', 'request arrives after the reset', 'answer lost']) {
			const path = runCell('connect', faults[name], 2);
			const unknown = plannedCalls().filter(
				(plan) => path.results.get(plan.name)?.outcome === 'unknown',
			);
			expect(unknown, name).to.deep.equal([]);
		}
	});
});
