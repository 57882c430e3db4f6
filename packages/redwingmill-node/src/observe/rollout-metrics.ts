import {rolloutStates, type DirectoryNotice, type RolloutState} from 'redwingmill-core';
import {type Metrics} from './metrics.js';

const stageEvents = {
	[rolloutStates.running]: 'rollout-stage',
	[rolloutStates.completed]: 'rollout-completed',
	[rolloutStates.rolledBack]: 'rollout-rolled-back',
} as const satisfies Readonly<Record<RolloutState, string>>;

/** Counts the stages and verdicts of rollouts and what became of writing them. */
export function countRolloutNotice(metrics: Metrics, notice: DirectoryNotice): void {
	switch (notice.type) {
		case 'rollout-stage': {
			const {isWithdrawn, state} = notice;
			metrics.countControlEvent(isWithdrawn ? 'rollout-withdrawn' : stageEvents[state]);
			break;
		}

		case 'rollout-refused':
		case 'rollout-verdicts-differ': {
			metrics.countControlEvent(notice.type);
			break;
		}

		case 'rollout-status-written': {
			if (notice.result !== 'written') {
				metrics.countControlEvent('rollout-status-unwritten');
			}

			break;
		}

		default: {
			break;
		}
	}
}
