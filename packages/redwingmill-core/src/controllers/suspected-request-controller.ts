import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {type Message} from '../model/message.js';
import {linkNumbersOf} from './link-actions.js';

type SuspectMessage = Extract<Message, {type: 'suspect'}>;

/**
 * Distributes reports of requests suspected of crashing workers, or cleared of the suspicion. The ends
 * of a new link send each other what they know, since either may be new or have been cut off.
 */
export class SuspectedRequestController implements Controller {
	handle(update: Update, event: Event, _context: Context): void {
		if (event.type === 'crash-reported') {
			const node = update.pending.roster.self.address;
			this.#distribute(update, {type: 'suspect', report: event.report, node}, true);
		} else if (event.type === 'link-message') {
			this.#handleMessage(update, event.link, event.message);
		}
	}

	#handleMessage(update: Update, link: number, message: Message): void {
		const role = update.pending.links.links.get(link)?.role;
		switch (message.type) {
			case 'register':
			case 'welcome': {
				// A registration that was put off or redirected leaves the link without a role.
				if (role !== undefined) {
					update.emit({type: 'send-crash-reports', link});
				}

				break;
			}

			case 'suspect': {
				const {report, node} = message;
				update.emit({type: 'suspect', report, node});
				// A relay forwards only its members' reports to other relays, so none circulates endlessly.
				if (update.pending.links.uplink.type === 'relay') {
					this.#distribute(update, message, role === 'member');
				}

				break;
			}

			default: {
				break;
			}
		}
	}

	#distribute(update: Update, message: SuspectMessage, isLocal: boolean): void {
		const {links} = update.pending;
		const {uplink} = links;
		const relays = isLocal ? linkNumbersOf(links, 'relay') : [];
		const members = uplink.type === 'relay' ? linkNumbersOf(links, 'member') : [];
		const targets = [...members, ...relays];
		if (targets.length > 0) {
			update.emit({type: 'send', links: targets, message});
		}
	}
}
