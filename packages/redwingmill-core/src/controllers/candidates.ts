import {rankByRendezvous} from 'redwingmill-shared';
import {type Blackboard} from '../engine/blackboard.js';
import {type Context} from '../engine/controller.js';
import {liveRecords} from '../model/roster.js';
import {hasFailedRecently} from './link-actions.js';

/** Control addresses that may be or become this data centre's relay, best first, itself included. */
export function relayCandidates(board: Blackboard, {now, seeds}: Context): string[] {
	const {self, roster} = board.roster;
	const known = new Set([
		self.address,
		...seeds,
		...liveRecords(roster, self.dataCentre).map((record) => record.address),
	]);
	const usable = [...known].filter(
		(address) => address === self.address || !hasFailedRecently(board.links, address, now),
	);
	return rankByRendezvous(self.dataCentre, usable);
}

/** Whether `address` comes before this node in rank. */
export function outranksSelf(board: Blackboard, address: string): boolean {
	const {self} = board.roster;
	return rankByRendezvous(self.dataCentre, [self.address, address])[0] === address;
}
