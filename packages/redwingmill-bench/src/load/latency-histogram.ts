import {build} from 'hdr-histogram-js';
import {type CallRecord} from './call-record.js';

/** Percentiles of the calls' latencies since they were due, in milliseconds. */
export type Latency = {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly max: number;
};

const microsecondsPerMillisecond = 1000;
const highestMicroseconds = 60_000_000;

/** Computes percentiles from a histogram with three significant digits. */
export function latencyOf(records: readonly CallRecord[]): Latency {
	const histogram = build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: highestMicroseconds,
		numberOfSignificantValueDigits: 3,
	});
	for (const {latencyMs} of records) {
		histogram.recordValue(Math.max(1, Math.round(latencyMs * microsecondsPerMillisecond)));
	}

	const at = (percentile: number) =>
		histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
	return {p50: at(50), p99: at(99), p999: at(99.9), max: at(100)};
}
