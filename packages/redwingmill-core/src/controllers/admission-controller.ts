import {type AdmissionBudget} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {type Limits} from '../engine/limits.js';
import {type Message} from '../model/message.js';
import {recordsOfDifferingSections, rosterDigests, type SectionDigest} from '../model/roster.js';
import {changeLink} from './link-actions.js';
import {hasFreshPlatformView, reportOf} from './report.js';

const minimumRetryDelayMs = 200;
const retryDelayJitterMs = 1000;

type Registration = Extract<Message, {type: 'register'}>;

/**
 * Answers registrations: admits them at a limited rate, redirects them to the relay, or asks the
 * node to retry later. Sends the records that another node's digests show to differ.
 */
export class AdmissionController implements Controller {
	handle(update: Update, event: Event, context: Context): void {
		if (event.type !== 'link-message') {
			return;
		}

		const {link, message} = event;
		switch (message.type) {
			case 'register': {
				this.#answerRegistration(update, link, message, context);
				break;
			}

			case 'welcome': {
				// The other node may lack records that changed here while there was no link to it.
				this.#sendDifferingRecords(update, link, message.digests);
				break;
			}

			case 'sync': {
				this.#sendDifferingRecords(update, link, message.digests);
				break;
			}

			default: {
				break;
			}
		}
	}

	#answerRegistration(update: Update, link: number, message: Registration, context: Context): void {
		const {uplink} = update.pending.links;
		if (uplink.type === 'registered') {
			this.#reply(update, link, {type: 'redirect', relay: uplink.address});
			update.emit({type: 'count', counter: 'registration-redirected'});
			return;
		}

		if (uplink.type !== 'relay' || !this.#consumeToken(update, context)) {
			this.#reply(update, link, {
				type: 'retry-after',
				delayMs: minimumRetryDelayMs + context.random.jitter(retryDelayJitterMs),
			});
			update.emit({type: 'count', counter: 'registration-deferred'});
			return;
		}

		this.#welcome(update, link, message, context);
	}

	#welcome(update: Update, link: number, message: Registration, context: Context): void {
		const {record, role, report, digests} = message;
		changeLink(update, link, {
			role,
			address: record.address,
			dataCentre: record.dataCentre,
			report,
		});
		const {self, roster} = update.pending.roster;
		this.#reply(update, link, {
			type: 'welcome',
			record: self,
			report: reportOf(update.pending.configuration),
			isFresh: hasFreshPlatformView(update.pending, context.now, context.limits),
			digests: rosterDigests(roster),
		});
		this.#sendDifferingRecords(update, link, digests);
	}

	#sendDifferingRecords(update: Update, link: number, digests: readonly SectionDigest[]): void {
		const records = recordsOfDifferingSections(update.pending.roster.roster, digests);
		if (records.length > 0) {
			this.#reply(update, link, {type: 'records', records});
		}
	}

	#reply(update: Update, link: number, message: Message): void {
		update.emit({type: 'send', links: [link], message});
	}

	#consumeToken(update: Update, {now, limits}: Context): boolean {
		const budget = refill(update.pending.links.admission, now, limits);
		const isAdmitted = budget.tokens >= 1;
		update.set('links', {
			admission: isAdmitted ? {...budget, tokens: budget.tokens - 1} : budget,
		});
		return isAdmitted;
	}
}

function refill(budget: AdmissionBudget, now: number, limits: Limits): AdmissionBudget {
	const refilled = ((now - budget.refilledAt) / 1000) * limits.admissionsPerSecond;
	return {tokens: Math.min(limits.admissionBurst, budget.tokens + refilled), refilledAt: now};
}
