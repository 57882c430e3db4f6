import {type MessageInitShape} from '@bufbuild/protobuf';
import {rolloutStates, type Datagram, type RolloutState} from 'redwingmill-core';
import {ProtocolError} from './errors.js';
import * as wire from './generated/redwingmill/v1/datagram_pb.js';

type Rollout = Extract<Datagram, {type: 'rollout'}>;
type RolloutEvidence = Extract<Datagram, {type: 'rollout-evidence'}>;

const thousandthsPerUnit = 1000;
/** Longest reason sent, so that the datagram stays well below 1,200 bytes. */
const maximumReasonLength = 300;

const wireStates: Readonly<Record<RolloutState, wire.RolloutState>> = {
	running: wire.RolloutState.RUNNING,
	completed: wire.RolloutState.COMPLETED,
	'rolled-back': wire.RolloutState.ROLLED_BACK,
};

/** Encodes the stage of a rollout. */
export function encodeRollout({
	stage,
	isWithdrawn,
}: Rollout): MessageInitShape<typeof wire.RolloutSchema> {
	const {order, state, share, elapsedMs, decider, sequence, reason} = stage;
	return {
		service: order.service,
		targetVersion: order.targetVersion,
		durationMs: Math.round(order.durationMs),
		era: order.era,
		revision: BigInt(order.revision),
		state: wireStates[state],
		// Rounded down: the share is a limit.
		sharePerMille: Math.floor(share * thousandthsPerUnit),
		elapsedMs: Math.max(0, Math.round(elapsedMs)),
		decider,
		sequence: BigInt(sequence),
		reason: reason.slice(0, maximumReasonLength),
		isWithdrawn,
	};
}

/** Decodes the stage of a rollout. Throws {@link ProtocolError} if its state is unknown. */
export function decodeRollout(message: wire.Rollout): Rollout {
	const {service, targetVersion, durationMs, era, revision, sharePerMille, elapsedMs} = message;
	const {decider, sequence, reason, isWithdrawn} = message;
	return {
		type: 'rollout',
		stage: {
			order: {service, targetVersion, durationMs, era, revision: Number(revision)},
			state: decodeState(message.state),
			share: Math.min(1, sharePerMille / thousandthsPerUnit),
			elapsedMs,
			decider,
			sequence: Number(sequence),
			reason,
		},
		isWithdrawn,
	};
}

function decodeState(state: wire.RolloutState): RolloutState {
	const known = Object.values(rolloutStates).find((each) => wireStates[each] === state);
	if (known === undefined) {
		throw new ProtocolError(`unknown state ${state} of a rollout`);
	}

	return known;
}

/** Encodes the runs that a gate has counted. */
export function encodeRolloutEvidence({
	targetVersion,
	revision,
	evidence,
}: RolloutEvidence): MessageInitShape<typeof wire.RolloutEvidenceSchema> {
	const {service, node, incarnation, worker, version, inProgress, dispatched, routes} = evidence;
	return {
		service,
		targetVersion,
		revision: BigInt(revision),
		node,
		incarnation: BigInt(incarnation),
		worker,
		version,
		inProgress,
		dispatched: BigInt(dispatched),
		routes: routes.map(({group, runs, failures, logSum, logSquareSum}) => ({
			group,
			runs: BigInt(runs),
			failures: BigInt(failures),
			logSum,
			logSquareSum,
		})),
	};
}

/** Decodes the runs that a gate has counted. */
export function decodeRolloutEvidence(message: wire.RolloutEvidence): RolloutEvidence {
	const {service, targetVersion, revision, node, incarnation, worker, version} = message;
	const {inProgress, dispatched, routes} = message;
	return {
		type: 'rollout-evidence',
		targetVersion,
		revision: Number(revision),
		evidence: {
			node,
			incarnation: Number(incarnation),
			worker,
			service,
			version,
			inProgress,
			dispatched: Number(dispatched),
			routes: routes.map(({group, runs, failures, logSum, logSquareSum}) => ({
				group,
				runs: Number(runs),
				failures: Number(failures),
				logSum,
				logSquareSum,
			})),
		},
	};
}
