import {type Blackboard, type ConfigurationSection} from '../engine/blackboard.js';
import {type Limits} from '../engine/limits.js';
import {type Report} from '../model/message.js';
import {type Snapshot} from '../model/snapshot.js';

/** Returns the versions that a node reports to others. */
export function reportOf(configuration: ConfigurationSection): Report {
	return {
		held: configuration.held?.version,
		staged: newestStaged(configuration)?.version,
		refused: configuration.refused,
	};
}

/** Returns the newest version that is checked and waits for acceptance. */
export function newestStaged({staged}: ConfigurationSection): Snapshot | undefined {
	return staged.at(-1);
}

/**
 * Returns whether this node, as the named relay, has a recent view of the platform and so knows the
 * accepted version.
 */
export function hasFreshPlatformView(board: Blackboard, now: number, limits: Limits): boolean {
	const {uplink} = board.links;
	const {isCurrent, currentAt} = board.platform;
	const isRecent = now - currentAt <= 2 * limits.dataCentreHeartbeatMs;
	return uplink.type === 'relay' && uplink.isNamed && isCurrent && isRecent;
}

/**
 * Returns whether the newest acceptance known here comes from a recent view of the platform, either
 * this node's or its relay's.
 */
export function hasFreshAcceptance(board: Blackboard, now: number, limits: Limits): boolean {
	const {uplink} = board.links;
	return uplink.type === 'registered' ? uplink.isFresh : hasFreshPlatformView(board, now, limits);
}
