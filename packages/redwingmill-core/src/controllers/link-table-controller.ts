import {type Link} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {rosterDigest} from '../model/roster.js';
import {changeLink, closeLink, markLinkFailed, newLink, removeLink} from './link-actions.js';
import {hasFreshPlatformView} from './report.js';

/** Keeps the table of links: adds and removes them, sends heartbeats, closes silent ones. */
export class LinkTableController implements Controller {
	handle(update: Update, event: Event, context: Context): void {
		switch (event.type) {
			case 'link-accepted': {
				this.#add(update, newLink(event.link, context.now));
				break;
			}

			case 'link-closed': {
				this.#onClosed(update, event.link, context);
				break;
			}

			case 'link-message': {
				changeLink(update, event.link, {receivedAt: context.now});
				break;
			}

			case 'tick': {
				this.#closeUnresponsive(update, context);
				this.#sendHeartbeats(update, context);
				break;
			}

			default: {
				break;
			}
		}
	}

	#add(update: Update, link: Link): void {
		const {links, nextLink} = update.pending.links;
		update.set('links', {
			links: new Map([...links, [link.id, link]]),
			nextLink: Math.max(nextLink, link.id + 1),
		});
	}

	#onClosed(update: Update, id: number, context: Context): void {
		const link = update.pending.links.links.get(id);
		if (link === undefined) {
			return;
		}

		removeLink(update, id);
		markLinkFailed(update, context, link);
	}

	#closeUnresponsive(update: Update, context: Context): void {
		const {now, limits} = context;
		for (const link of update.pending.links.links.values()) {
			const bound = link.role === undefined ? limits.registrationTimeoutMs : limits.linkTimeoutMs;
			if (now - link.receivedAt <= bound) {
				continue;
			}

			closeLink(update, link.id);
			update.emit({type: 'count', counter: 'link-silent'});
			markLinkFailed(update, context, link);
		}
	}

	/** Sends heartbeats that are due, and all of them when others wait to hear of a change. */
	#sendHeartbeats(update: Update, {now, limits}: Context): void {
		const isFresh = hasFreshPlatformView(update.pending, now, limits);
		const isChanged = isFresh !== update.pending.links.isAnnouncedFresh;
		update.set('links', {isAnnouncedFresh: isFresh});
		const due = [...update.pending.links.links.values()].filter(
			(link) =>
				link.role !== undefined &&
				(isChanged || now - link.heartbeatSentAt >= limits.heartbeatIntervalMs),
		);
		if (due.length === 0) {
			return;
		}

		const links = new Map(update.pending.links.links);
		for (const link of due) {
			links.set(link.id, {...link, heartbeatSentAt: now});
		}

		update.set('links', {links});
		update.emit({
			type: 'send',
			links: due.map((link) => link.id),
			message: {
				type: 'heartbeat',
				isFresh,
				rosterDigest: rosterDigest(update.pending.roster.roster),
			},
		});
	}
}
