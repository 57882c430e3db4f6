import {type Blackboard, type ConfigurationSection} from '../engine/blackboard.js';
import {type Limits} from '../engine/limits.js';
import {type Report} from '../model/message.js';
import {type Snapshot} from '../model/snapshot.js';

/** What a node tells others of the versions it has. */
export function reportOf(configuration: ConfigurationSection): Report {
	return {
		held: configuration.held?.version,
		staged: newestStaged(configuration)?.version,
		refused: configuration.refused,
	};
}

/** Newest version that is checked and waits for acceptance. */
export function newestStaged({staged}: ConfigurationSection): Snapshot | undefined {
	return staged.at(-1);
}

/** Whether this node, as the relay, has heard lately from the platform which version is accepted. */
export function hasFreshPlatformView(board: Blackboard, now: number, limits: Limits): boolean {
	const {uplink} = board.links;
	const {isCurrent, currentAt} = board.platform;
	const isRecent = now - currentAt <= 2 * limits.dataCentreHeartbeatMs;
	return uplink.type === 'relay' && uplink.isNamed && isCurrent && isRecent;
}

/** Whether what this node knows of the newest acceptance comes from the platform. */
export function hasFreshAcceptance(board: Blackboard, now: number, limits: Limits): boolean {
	const {uplink} = board.links;
	return uplink.type === 'registered' ? uplink.isFresh : hasFreshPlatformView(board, now, limits);
}
