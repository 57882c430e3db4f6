import {type ConfigurationDocument} from '../model/configuration-document.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';

/**
 * Takes each version of the configuration as a whole and only forward. The store's watch brings
 * them; word of a newer version from another node shows that the watch has missed one.
 */
export class AdoptionController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		switch (event.type) {
			case 'configuration-read': {
				adopt(update, event.document, event.origin);
				break;
			}

			case 'datagram': {
				const {datagram, from} = event;
				if (datagram.type === 'announcement' || datagram.type === 'pulse') {
					noteVersion(update, datagram.version, from, context.now);
				}

				break;
			}

			case 'tick': {
				catchUp(update, context);
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
): void {
	const {held, newer} = update.pending.adoption;
	const previous = held?.version ?? 0;
	if (document.version <= previous) {
		return;
	}

	const isStillBehind = newer !== undefined && newer.version > document.version;
	update.set('adoption', {held: document, newer: isStillBehind ? newer : undefined});
	const {version} = document;
	update.emit({type: 'notify', notice: {type: 'configuration-adopted', version, previous, origin}});
}

function noteVersion(update: DirectoryUpdate, version: number, holder: string, now: number): void {
	const {held, newer} = update.pending.adoption;
	if (version <= (held?.version ?? 0)) {
		return;
	}

	if (newer === undefined || version > newer.version) {
		const since = newer ?? {heardAt: now, isRead: false};
		update.set('adoption', {newer: {...since, version, holder, isHolderAsked: false}});
	} else if (
		version === newer.version &&
		(newer.isHolderAsked || isNearer(update, holder, newer.holder))
	) {
		update.set('adoption', {newer: {...newer, holder, isHolderAsked: false}});
	}
}

/** A node of the own data centre is asked first: the whole configuration is large. */
function isNearer(update: DirectoryUpdate, holder: string, than: string): boolean {
	const {records, self} = update.pending.members;
	const isLocal = (address: string) => records.get(address)?.dataCentre === self.dataCentre;
	return isLocal(holder) && !isLocal(than);
}

function catchUp(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {newer} = update.pending.adoption;
	if (newer === undefined) {
		return;
	}

	if (!newer.isRead && now - newer.heardAt >= limits.readDelayMs) {
		update.set('adoption', {newer: {...newer, isRead: true}});
		update.emit({type: 'read-configuration'});
	} else if (now - (newer.askedAt ?? newer.heardAt) >= limits.askDelayMs) {
		const record = update.pending.members.records.get(newer.holder);
		update.set('adoption', {
			newer: {...newer, askedAt: now, isHolderAsked: true, isRead: false, heardAt: now},
		});
		if (record) {
			const {address, gateAddress} = record;
			update.emit({type: 'ask-configuration', node: address, gateAddress});
		}
	}
}
