import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {type Counter as ControlCounter, type Outcome} from 'redwingmill-core';

const latencyBucketsSeconds = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5];

/** Values of the gauges, read when the metrics are scraped. */
export type GaugeValues = {
	readonly versionInForce: number;
	readonly controlBytes: number;
	readonly endpoints: number;
	readonly gateRunning: number;
	readonly gateWaiting: number;
	readonly isRelay: boolean;
	readonly isServing: boolean;
};

/** Prometheus metrics of a node, in a registry of their own. */
export class Metrics {
	readonly #registry = new Registry();
	readonly #calls: Counter<'outcome' | 'reason'>;
	readonly #retries: Counter<'reason'>;
	readonly #controlEvents: Counter<'event'>;
	readonly #latency: Histogram;

	constructor(readGauges: () => GaugeValues) {
		const registers = [this.#registry];
		this.#calls = new Counter({
			name: 'redwingmill_calls_total',
			help: 'Calls answered by this entry node, by outcome and reason.',
			labelNames: ['outcome', 'reason'],
			registers,
		});
		this.#retries = new Counter({
			name: 'redwingmill_retries_total',
			help: 'Retries of calls, by the reason for which the previous attempt failed.',
			labelNames: ['reason'],
			registers,
		});
		this.#controlEvents = new Counter({
			name: 'redwingmill_control_events_total',
			help: 'Failures, refusals and retries in the control plane, by event.',
			labelNames: ['event'],
			registers,
		});
		this.#latency = new Histogram({
			name: 'redwingmill_call_seconds',
			help: 'Time in seconds from the arrival of a call at the entry node to its answer.',
			buckets: latencyBucketsSeconds,
			registers,
		});
		this.#addGauges(readGauges);
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

	#addGauges(readGauges: () => GaugeValues): void {
		const gauges: ReadonlyArray<readonly [string, string, (values: GaugeValues) => number]> = [
			[
				'version_in_force',
				'Number of the configuration version in force.',
				(values) => values.versionInForce,
			],
			[
				'control_bytes',
				'Bytes of control traffic, sent and received.',
				(values) => values.controlBytes,
			],
			['endpoints', 'Endpoints in the routing table.', (values) => values.endpoints],
			['gate_running', 'Calls that the local worker is running.', (values) => values.gateRunning],
			['gate_waiting', 'Calls queued for the local worker.', (values) => values.gateWaiting],
			[
				'is_relay',
				'1 if this node is the relay of its data centre, otherwise 0.',
				(values) => Number(values.isRelay),
			],
			[
				'is_serving',
				'1 if this node accepts calls, otherwise 0.',
				(values) => Number(values.isServing),
			],
		];
		for (const [name, help, valueOf] of gauges) {
			this.#registry.registerMetric(
				new Gauge({
					name: `redwingmill_${name}`,
					help,
					registers: [],
					collect() {
						this.set(valueOf(readGauges()));
					},
				}),
			);
		}
	}
}
