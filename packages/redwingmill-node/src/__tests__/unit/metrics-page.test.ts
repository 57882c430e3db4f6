import {expect} from 'chai';
import {Metrics} from '../../observe/metrics.js';
import {MetricsPage} from '../../observe/metrics-page.js';

function createMetrics(): Metrics {
	return new Metrics(() => ({
		versionInForce: 7,
		configurationBehindSeconds: 1.5,
		stoppingSeconds: 0.5,
		controlBytes: 100,
		endpoints: 3,
		gateRunning: 1,
		gateWaiting: 2,
		workerRequests: 9,
		workerLimitPerSecond: Number.POSITIVE_INFINITY,
		eventLoopDelaySeconds: 0.04,
		transitSeconds: 0.03,
		processorSeconds: 2.5,
		taskSeconds: new Map([['datagram', 0.75]]),
		isRelay: false,
		isServing: true,
		rolloutShares: new Map([['coding', 0.03]]),
		busyShareSpreads: new Map([['coding', 0.25]]),
	}));
}

async function linesOf(metrics: Metrics): Promise<string[]> {
	const text = await new MetricsPage(metrics).render();
	return text.split('\n').filter((line) => line !== '' && !line.startsWith('#'));
}

describe('the metrics page', () => {
	it('shows calls by outcome and reason, retries and control events', async () => {
		const metrics = createMetrics();
		metrics.countCall({type: 'ran'}, 0.001);
		metrics.countCall({type: 'ran'}, 0.002);
		metrics.countCall({type: 'not-run', reason: 'no-route'}, 0.001);
		metrics.countRetry('refused');
		metrics.countControlEvent('link-overflow');
		expect(await linesOf(metrics)).to.include.members([
			'redwingmill_calls_total{outcome="ran",reason=""} 2',
			'redwingmill_calls_total{outcome="not-run",reason="no-route"} 1',
			'redwingmill_retries_total{reason="refused"} 1',
			'redwingmill_control_events_total{event="link-overflow"} 1',
			'redwingmill_version_in_force 7',
			'redwingmill_configuration_behind_seconds 1.5',
			'redwingmill_stopping_seconds 0.5',
			'redwingmill_event_loop_delay_seconds 0.04',
			'redwingmill_transit_seconds 0.03',
			'redwingmill_processor_seconds_total 2.5',
			'redwingmill_control_seconds_total{task="datagram"} 0.75',
			'redwingmill_is_serving 1',
			'redwingmill_rollout_share{service="coding"} 0.03',
		]);
	});

	it('shows latencies as a cumulative histogram', async () => {
		const metrics = createMetrics();
		for (const seconds of [0.0004, 0.0005, 0.003, 7]) {
			metrics.countCall({type: 'ran'}, seconds);
		}

		expect(await linesOf(metrics)).to.include.members([
			'redwingmill_call_seconds_bucket{le="0.0005"} 2',
			'redwingmill_call_seconds_bucket{le="0.002"} 2',
			'redwingmill_call_seconds_bucket{le="0.005"} 3',
			'redwingmill_call_seconds_bucket{le="5"} 3',
			'redwingmill_call_seconds_bucket{le="+Inf"} 4',
			'redwingmill_call_seconds_count 4',
		]);
	});

	it('shows the counts at each scrape, not sums of all scrapes', async () => {
		const metrics = createMetrics();
		const page = new MetricsPage(metrics);
		metrics.countRetry('refused');
		await page.render();
		metrics.countRetry('refused');
		expect(await page.render()).to.include('redwingmill_retries_total{reason="refused"} 2');
	});
});
