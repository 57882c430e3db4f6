import {type ConfigurationDocument} from '../model/configuration-document.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {configurationBehindMs} from './directory-state.js';
import {isWatching, notifyOfVersion} from './member-actions.js';

/**
 * Adopts configuration versions as a whole and in increasing order. Nodes that watch the store
 * receive versions from the watch. The others, and those whose watch missed a version, learn from
 * the datagrams of other nodes that a newer version exists, and request it.
 */
export class AdoptionController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		switch (event.type) {
			case 'configuration-read': {
				adopt(update, event.document, event.origin, context);
				break;
			}

			case 'datagram': {
				const {datagram, from} = event;
				if (
					datagram.type === 'announcement' ||
					datagram.type === 'pulse' ||
					datagram.type === 'digest'
				) {
					recordNewerVersion(update, datagram.version, from, context.now);
					requestNewerVersion(update, context);
				}

				break;
			}

			case 'tick': {
				requestNewerVersion(update, context);
				break;
			}

			default: {
				break;
			}
		}
	}
}

function adopt(
	update: DirectoryUpdate,
	document: ConfigurationDocument,
	origin: 'store' | 'node',
	context: DirectoryContext,
): void {
	const {held, newer} = update.pending.adoption;
	const previous = held?.version ?? 0;
	if (document.version <= previous) {
		return;
	}

	const behindMs = configurationBehindMs(update.pending, context.now);
	const isStillBehind = newer !== undefined && newer.version > document.version;
	const stillNewer = isStillBehind ? {...newer, behindSince: context.now} : undefined;
	update.set('adoption', {held: document, newer: stillNewer});
	const {version} = document;
	update.emit({
		type: 'notify',
		notice: {type: 'configuration-adopted', version, previous, origin, behindMs},
	});
	notifyOfVersion(update, context);
}

function recordNewerVersion(
	update: DirectoryUpdate,
	version: number,
	holder: string,
	now: number,
): void {
	const {held, newer} = update.pending.adoption;
	if (version <= (held?.version ?? 0)) {
		return;
	}

	if (newer === undefined || version > newer.version) {
		const previous = newer ?? {heardAt: now, behindSince: now};
		update.set('adoption', {newer: {...previous, version, holder, isHolderAsked: false}});
	} else if (
		version === newer.version &&
		(newer.isHolderAsked || isPreferredHolder(update, holder, newer.holder))
	) {
		update.set('adoption', {newer: {...newer, holder, isHolderAsked: false}});
	}
}

/** Prefers a holder in the local data centre, because a whole configuration is large. */
function isPreferredHolder(update: DirectoryUpdate, holder: string, current: string): boolean {
	const {records, self} = update.pending.members;
	const isLocal = (address: string) => records.get(address)?.dataCentre === self.dataCentre;
	return isLocal(holder) && !isLocal(current);
}

/**
 * Requests a newer version from a node that holds it. A node that watches the store waits first,
 * because the watch usually delivers the version in the meantime.
 */
function requestNewerVersion(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {adoption, watch, members} = update.pending;
	const {newer, held} = adoption;
	if (newer === undefined) {
		return;
	}

	const firstAt = newer.heardAt + (isWatching(watch) ? limits.configurationRequestDelayMs : 0);
	const dueAt =
		newer.askedAt === undefined ? firstAt : newer.askedAt + limits.configurationRequestIntervalMs;
	if (now < dueAt) {
		return;
	}

	update.set('adoption', {newer: {...newer, askedAt: now, isHolderAsked: true}});
	// A holder without a record can't be asked. The next node that announces the version replaces it.
	const record = members.records.get(newer.holder);
	if (record) {
		const {address, gateAddress} = record;
		update.emit({type: 'ask-configuration', node: address, gateAddress, since: held?.version});
	}
}
