/** What is known of the calls at a replica. */
export type ForecastInputs = {
	/** Running and waiting calls per slot, as last reported. */
	readonly callsPerSlot: number;
	/** Mean of the reports over some seconds, at most 1. */
	readonly meanBusyShare: number;
	/** Age of the report in milliseconds. */
	readonly ageMs: number;
	/** Expected run time of a call in milliseconds. */
	readonly runMs: number;
};

/** Calls per slot that are expected now. */
export type Forecast = {
	readonly callsPerSlot: number;
	/** How much the report still says, from 1 for a new one to 0: the rest of the forecast is the mean. */
	readonly certainty: number;
};

/** Lower bound of the share of its slots that a replica has left for working off a queue. */
const minimumSpareShare = 0.05;

/**
 * Returns the calls per slot to expect some time after a report. A queue shrinks by what the slots work
 * off beyond the calls that arrive as usual; from then on the report loses its meaning at the rate at
 * which the calls end that it counted.
 */
export function forecastLoad(inputs: ForecastInputs): Forecast {
	const {callsPerSlot, meanBusyShare, ageMs, runMs} = inputs;
	if (callsPerSlot <= 1) {
		return relaxed(callsPerSlot, meanBusyShare, ageMs / runMs);
	}

	const perMs = Math.max(minimumSpareShare, 1 - meanBusyShare) / runMs;
	const queuedMs = (callsPerSlot - 1) / perMs;
	return queuedMs >= ageMs
		? {callsPerSlot: callsPerSlot - perMs * ageMs, certainty: 1}
		: relaxed(1, meanBusyShare, (ageMs - queuedMs) / runMs);
}

function relaxed(callsPerSlot: number, mean: number, runs: number): Forecast {
	const certainty = Math.exp(-runs);
	return {callsPerSlot: mean + (callsPerSlot - mean) * certainty, certainty};
}
