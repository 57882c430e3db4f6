import {type Link, type LinkPurpose, type LinksSection} from '../engine/blackboard.js';
import {type Context, type Update} from '../engine/controller.js';
import {type LinkRole} from '../model/message.js';

/** Opens a link to `address` and returns its number. */
export function openLink(
	update: Update,
	{now}: Context,
	address: string,
	purpose: LinkPurpose,
): number {
	const {links, nextLink} = update.pending.links;
	const link = {...newLink(nextLink, now), address, purpose};
	update.set('links', {links: new Map([...links, [link.id, link]]), nextLink: nextLink + 1});
	update.emit({type: 'open-link', link: link.id, address});
	return link.id;
}

/** Creates a link that isn't registered yet. */
export function newLink(id: number, now: number): Link {
	return {
		id,
		openedAt: now,
		receivedAt: now,
		heartbeatSentAt: now,
		report: {},
		digestMismatches: 0,
		configurationSentAt: now,
	};
}

/** Closes a link if it is still in the table. */
export function closeLink(update: Update, id: number): void {
	if (update.pending.links.links.has(id)) {
		removeLink(update, id);
		update.emit({type: 'close-link', link: id});
	}
}

/** Removes a link that is already closed from the table. */
export function removeLink(update: Update, id: number): void {
	const links = new Map(update.pending.links.links);
	links.delete(id);
	update.set('links', {links});
}

/** Changes fields of a link if it is still in the table. */
export function changeLink(update: Update, id: number, fields: Partial<Link>): void {
	const link = update.pending.links.links.get(id);
	if (link) {
		update.set('links', {
			links: new Map([...update.pending.links.links, [id, {...link, ...fields}]]),
		});
	}
}

/** Returns the numbers of the registered links to nodes with the given role. */
export function linkNumbersOf({links}: LinksSection, role: LinkRole): number[] {
	return [...links.values()].filter((link) => link.role === role).map((link) => link.id);
}

/** Excludes the address of an outgoing link from new links for a while. */
export function markLinkFailed(update: Update, context: Context, link: Link): void {
	if (link.address !== undefined && link.purpose !== undefined) {
		markAddressFailed(update, context, link.address, link.purpose);
	}
}

/** Excludes a relay candidate or another data centre's relay from new links for a while. */
export function markAddressFailed(
	update: Update,
	{now, limits}: Context,
	address: string,
	purpose: LinkPurpose = 'uplink',
): void {
	const durationMs = purpose === 'peer' ? limits.failedPeerRetryMs : limits.failedCandidateRetryMs;
	const unexpired = [...update.pending.links.failedUntil].filter(([, until]) => until > now);
	update.set('links', {failedUntil: new Map([...unexpired, [address, now + durationMs]])});
	update.emit({type: 'count', counter: 'link-failed'});
}

/** Returns whether `address` is excluded from new links because it failed recently. */
export function hasFailedRecently(
	{failedUntil}: LinksSection,
	address: string,
	now: number,
): boolean {
	return (failedUntil.get(address) ?? 0) > now;
}
