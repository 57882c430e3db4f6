import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {type Counter as ControlCounter, type Outcome} from 'redwingmill-core';

const latencyBucketsSeconds = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5];

/** Values that are read when the metrics are scraped. */
export type GaugeValues = {
	readonly versionInForce: number;
	readonly controlBytes: number;
	readonly endpoints: number;
	readonly gateRunning: number;
	readonly gateWaiting: number;
	readonly isRelay: boolean;
	readonly isServing: boolean;
};

/** The node's metrics, in a registry of their own. */
export class Metrics {
	readonly #registry = new Registry();
	readonly #calls: Counter<'outcome' | 'reason'>;
	readonly #retries: Counter<'reason'>;
	readonly #controlEvents: Counter<'event'>;
	readonly #latency: Histogram;

	constructor(read: () => GaugeValues) {
		const registers = [this.#registry];
		this.#calls = new Counter({
			name: 'redwingmill_calls_total',
			help: 'Calls answered to callers, by outcome and reason.',
			labelNames: ['outcome', 'reason'],
			registers,
		});
		this.#retries = new Counter({
			name: 'redwingmill_retries_total',
			help: 'Further attempts of calls, by the reason of the earlier one.',
			labelNames: ['reason'],
			registers,
		});
		this.#controlEvents = new Counter({
			name: 'redwingmill_control_events_total',
			help: 'Refusals and retries in the control plane.',
			labelNames: ['event'],
			registers,
		});
		this.#latency = new Histogram({
			name: 'redwingmill_call_seconds',
			help: 'Time from a call to its answer at the entry node.',
			buckets: latencyBucketsSeconds,
			registers,
		});
		this.#addGauges(read);
	}

	get contentType(): string {
		return this.#registry.contentType;
	}

	countCall(outcome: Outcome, seconds: number): void {
		const reason = outcome.type === 'ran' ? '' : outcome.reason;
		this.#calls.inc({outcome: outcome.type, reason});
		this.#latency.observe(seconds);
	}

	countRetry(reason: string): void {
		this.#retries.inc({reason});
	}

	countControlEvent(
		event: ControlCounter | 'platform-retry' | 'link-overflow' | 'configuration-unanswered',
	): void {
		this.#controlEvents.inc({event});
	}

	async render(): Promise<string> {
		return this.#registry.metrics();
	}

	#addGauges(read: () => GaugeValues): void {
		const gauges: ReadonlyArray<readonly [string, string, (readings: GaugeValues) => number]> = [
			['version_in_force', 'Number of the version in force.', (r) => r.versionInForce],
			['control_bytes', 'Bytes of control traffic, both ways.', (r) => r.controlBytes],
			['endpoints', 'Endpoints in the routing table.', (r) => r.endpoints],
			['gate_running', 'Calls that the worker is running.', (r) => r.gateRunning],
			['gate_waiting', 'Calls that wait for the worker.', (r) => r.gateWaiting],
			['is_relay', '1 when this node is the relay.', (r) => Number(r.isRelay)],
			['is_serving', '1 when this node takes calls.', (r) => Number(r.isServing)],
		];
		for (const [name, help, value] of gauges) {
			this.#registry.registerMetric(
				new Gauge({
					name: `redwingmill_${name}`,
					help,
					registers: [],
					collect() {
						this.set(value(read()));
					},
				}),
			);
		}
	}
}
