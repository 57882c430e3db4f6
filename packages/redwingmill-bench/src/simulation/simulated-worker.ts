import {RunTally, type WorkerEvidence} from 'redwingmill-core';
import {type Random} from 'redwingmill-shared';

const reportMs = 250;
const usualDelayMs = 50;
/** Of the times that an unchanged report is due, those at which it is repeated: twice, then every second. */
const repetitions = 2;
const repetitionInterval = 4;
/** Part of the reports that arrive up to 1 s late, and that are lost. */
const lateReports = 0.03;
const latestMs = 1000;
const lostReports = 0.01;

/** A run that ends at some time. */
export type SimulatedRun = {
	readonly worker: SimulatedWorker;
	readonly group: string;
	readonly ranMs: number;
	readonly isFailure: boolean;
};

/** A worker with its gate, which reports to the decider. */
export class SimulatedWorker {
	/** Run time as a multiple of the mean host's. */
	readonly slowness: number;
	readonly dataCentre: number;
	readonly #random: Random;
	readonly #name: string;
	readonly #version: string;
	readonly #tally = new RunTally();
	#inProgress = 0;
	#dispatched = 0;
	#reportedCounts = '';
	#repeated = 0;
	#reportAt: number;

	constructor(random: Random, name: string, version: string, dataCentre: number) {
		this.#random = random;
		this.#name = name;
		this.#version = version;
		this.dataCentre = dataCentre;
		this.slowness = 1 / (0.6 + random.fraction());
		this.#reportAt = random.jitter(reportMs);
	}

	start(): void {
		this.#inProgress += 1;
		this.#dispatched += 1;
	}

	end(run: SimulatedRun): void {
		this.#inProgress -= 1;
		this.#tally.record(run);
	}

	/** Returns a report that is due, with the time of its arrival; undefined if none is, or it is lost. */
	report(now: number): {readonly at: number; readonly evidence: WorkerEvidence} | undefined {
		if (now < this.#reportAt) {
			return undefined;
		}

		this.#reportAt += reportMs;
		const counts = `${this.#dispatched} ${this.#inProgress}`;
		this.#repeated = counts === this.#reportedCounts ? this.#repeated + 1 : 0;
		if (this.#repeated > repetitions && this.#repeated % repetitionInterval !== 0) {
			return undefined;
		}

		this.#reportedCounts = counts;
		const chance = this.#random.fraction();
		if (chance < lostReports) {
			return undefined;
		}

		const isLate = chance < lostReports + lateReports;
		return {
			at: now + this.#random.jitter(isLate ? latestMs : usualDelayMs),
			evidence: {
				node: this.#name,
				incarnation: 1,
				worker: this.#name,
				service: 'simulated',
				version: this.#version,
				inProgress: this.#inProgress,
				dispatched: this.#dispatched,
				routes: this.#tally.routes,
			},
		};
	}
}
