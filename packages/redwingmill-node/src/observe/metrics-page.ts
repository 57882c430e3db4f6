import {Counter, Gauge, Registry, type Metric} from 'prom-client';
import {latencyBucketsSeconds, type GaugeValues, type Metrics} from './metrics.js';

/**
 * A node's metrics in the Prometheus text format. A module of its own, because most nodes are
 * never scraped and the library takes long to load.
 */
export class MetricsPage {
	readonly #registry = new Registry();

	constructor(metrics: Metrics) {
		this.#addCounter({
			name: 'redwingmill_calls_total',
			help: 'Calls answered by this entry node, by outcome and reason.',
			labelNames: ['outcome', 'reason'],
			*values() {
				for (const {outcome, reason, count} of metrics.calls) {
					yield [{outcome, reason}, count];
				}
			},
		});
		this.#addCounter({
			name: 'redwingmill_retries_total',
			help: 'Retries of calls, by the reason for which the previous attempt failed.',
			labelNames: ['reason'],
			*values() {
				for (const [reason, count] of metrics.retries) {
					yield [{reason}, count];
				}
			},
		});
		this.#addCounter({
			name: 'redwingmill_control_events_total',
			help: 'Failures, refusals and retries in the control plane, by event.',
			labelNames: ['event'],
			*values() {
				for (const [event, count] of metrics.controlEvents) {
					yield [{event}, count];
				}
			},
		});
		this.#addCounter({
			name: 'redwingmill_control_seconds_total',
			help: 'Time spent in tasks of the control plane, by task.',
			labelNames: ['task'],
			*values() {
				for (const [task, seconds] of metrics.readGauges().taskSeconds) {
					yield [{task}, seconds];
				}
			},
		});
		this.#addCounter({
			name: 'redwingmill_processor_seconds_total',
			help: 'Processor time of this process since its start.',
			labelNames: [],
			*values() {
				yield [{}, metrics.readGauges().processorSeconds];
			},
		});
		this.#addLatency(metrics);
		this.#addGauges(metrics.readGauges);
		this.#addRolloutShares(metrics.readGauges);
		this.#addSpreads(metrics.readGauges);
	}

	get contentType(): string {
		return this.#registry.contentType;
	}

	async render(): Promise<string> {
		return this.#registry.metrics();
	}

	#addCounter({
		name,
		help,
		labelNames,
		values,
	}: {
		readonly name: string;
		readonly help: string;
		readonly labelNames: readonly string[];
		readonly values: () => Iterable<readonly [Record<string, string>, number]>;
	}): void {
		this.#registry.registerMetric(
			new Counter({
				name,
				help,
				labelNames,
				registers: [],
				collect() {
					this.reset();
					for (const [labels, count] of values()) {
						this.inc(labels, count);
					}
				},
			}),
		);
	}

	/** The library's own histogram only takes single observations. */
	#addLatency(metrics: Metrics): void {
		const name = 'redwingmill_call_seconds';
		const histogram = {
			name,
			async get() {
				const {counts, sumSeconds} = metrics.latency;
				let total = 0;
				const buckets = counts.map((count, index) => {
					total += count;
					const le = latencyBucketsSeconds[index] ?? '+Inf';
					return {metricName: `${name}_bucket`, labels: {le}, value: total};
				});
				return {
					name,
					help: 'Time in seconds from the arrival of a call at the entry node to its answer.',
					type: 'histogram',
					aggregator: 'sum',
					values: [
						...buckets,
						{metricName: `${name}_sum`, labels: {}, value: sumSeconds},
						{metricName: `${name}_count`, labels: {}, value: total},
					],
				};
			},
		};
		this.#registry.registerMetric(histogram as unknown as Metric);
	}

	#addRolloutShares(readGauges: () => GaugeValues): void {
		this.#registry.registerMetric(
			new Gauge({
				name: 'redwingmill_rollout_share',
				help: "Share of a service's calls for the target version of its rollout.",
				labelNames: ['service'],
				registers: [],
				collect() {
					this.reset();
					for (const [service, share] of readGauges().rolloutShares) {
						this.set({service}, share);
					}
				},
			}),
		);
	}

	#addSpreads(readGauges: () => GaugeValues): void {
		this.#registry.registerMetric(
			new Gauge({
				name: 'redwingmill_busy_share_spread',
				help: 'Calls per slot at the busiest replica of the service in this data centre, less their mean.',
				labelNames: ['service'],
				registers: [],
				collect() {
					this.reset();
					for (const [service, spread] of readGauges().busyShareSpreads) {
						this.set({service}, spread);
					}
				},
			}),
		);
	}

	#addGauges(readGauges: () => GaugeValues): void {
		const gauges: ReadonlyArray<readonly [string, string, (values: GaugeValues) => number]> = [
			[
				'version_in_force',
				'Number of the configuration version in force.',
				(values) => values.versionInForce,
			],
			[
				'configuration_behind_seconds',
				'Time for which a version newer than the one in force is known; 0 if none is.',
				(values) => values.configurationBehindSeconds,
			],
			[
				'stopping_seconds',
				'Time since a graceful shutdown began; 0 if none has.',
				(values) => values.stoppingSeconds,
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
				'worker_requests',
				'Requests sent to the local worker since the start of this node.',
				(values) => values.workerRequests,
			],
			[
				'worker_limit_per_second',
				'Calls a second that the local worker says it takes; +Inf while it states no limit.',
				(values) => values.workerLimitPerSecond,
			],
			[
				'event_loop_delay_seconds',
				'Mean time for which events wait for their turn in this process.',
				(values) => values.eventLoopDelaySeconds,
			],
			[
				'transit_seconds',
				'Expected time of a call on its way to the gate of another node and back; 0 before the first answer.',
				(values) => values.transitSeconds,
			],
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
