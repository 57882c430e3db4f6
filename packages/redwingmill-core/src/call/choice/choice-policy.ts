import {type Random} from 'redwingmill-shared';
import {type Endpoint} from '../../model/routing-table.js';
import {type GroupMeans} from '../group-means.js';
import {type EndpointStates} from './endpoint-state.js';
import {type OwnNode} from './own-node.js';

/**
 * Load-balancing policies. `least-loaded`, `random` and `round-robin` are baselines for measurements.
 */
export const choicePolicies = [
	'two-choices',
	'expected-completion',
	'even-load',
	'least-loaded',
	'random',
	'round-robin',
] as const;
export type ChoicePolicy = (typeof choicePolicies)[number];

/** Options for choosing endpoints. */
export type ChoiceOptions = {
	readonly policy: ChoicePolicy;
	/** Time over which a new endpoint ramps up to its full share; 0 gives the full share at once. */
	readonly slowStartMs: number;
	/** Data centre whose endpoints are preferred: the local one. */
	readonly dataCentre: string;
	/**
	 * Whether `even-load` takes the place of `two-choices` and `expected-completion` for services whose
	 * workers say how long work takes on their hosts. By default yes; simulations compare policies without it.
	 */
	readonly followsHostTimes?: boolean;
	/** Absent where the chooser has no worker of its own. */
	readonly ownNode?: OwnNode;
};

/** Properties of a call that the choice takes into account. */
export type CallProfile = {
	/** Identifies calls with similar run times. */
	readonly group: string;
	/** Latency target in monotonic milliseconds; absent when only the deadline counts. */
	readonly targetAt?: number;
	/** Size of the request and its expected answer; absent when it doesn't count. */
	readonly bytes?: number;
	/**
	 * Lowest occupancy at which a gate has refused the call for lack of capacity, see
	 * `EndpointChooser.occupancyOf`; endpoints that are likely to refuse it too are left out. Absent when none
	 * has.
	 */
	readonly refusedAt?: number;
	/** Whether endpoints without a free slot count as likely to refuse it; by default those that are as busy do. */
	readonly needsFreeSlot?: boolean;
};

/** Why the policy `even-load` chose a replica. */
export const choiceReasons = [
	/** The worker of this node has room, so no second node need be involved. */
	'own-node',
	/** A recent answer to this node showed its load. */
	'answered-report',
	/** A recent report to all nodes showed its load. */
	'common-report',
	/** No report is recent; it was drawn by what it can run, and by this node's own calls. */
	'capacity',
	/** It is in another data centre, and the local one would have answered too late or not at all. */
	'other-data-centre',
] as const;
export type ChoiceReason = (typeof choiceReasons)[number];

/** What a policy chooses from. */
export type ChoiceInputs = {
	/** Endpoints that may get the call; none if empty. */
	readonly usable: readonly Endpoint[];
	/** Whether the local data centre has an endpoint that isn't ejected, tried before or not. */
	readonly hasLocal: boolean;
	/** Current time in monotonic milliseconds. */
	readonly now: number;
	readonly profile: CallProfile;
};

/** Creates the strategy of a policy. */
export type StrategyFactory = (
	options: ChoiceOptions,
	states: EndpointStates,
	/** Run times by group, scaled to a worker of the service's mean speed. */
	runTimes: GroupMeans,
	random: Random,
) => ChoiceStrategy;

/** Chooses between endpoints that are all fit to get a call. */
export type ChoiceStrategy = {
	choose: (inputs: ChoiceInputs) => Endpoint | undefined;
	/** Whether the call would run at this node; absent for policies that don't prefer it. */
	hasRoomAtOwnNode?: (inputs: ChoiceInputs) => boolean;
};
