import {type Uplink} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event, type ReadOutcome} from '../engine/event.js';
import {type Message} from '../model/message.js';
import {type PlatformObject, type WriteOutcome} from '../model/platform-object.js';
import {relayCandidates} from './candidates.js';
import {
	changeLink,
	closeLink,
	hasFailedRecently,
	markAddressFailed,
	openLink,
} from './link-actions.js';
import {
	becomeRelay,
	claimRelayRole,
	hasNamedRelayRestarted,
	isNamedRelay,
	scheduleSearch,
	sendRegistration,
	setUplink,
} from './uplink-actions.js';

/** Delay per rank before another attempt, and bound of its jitter, so that claims seldom collide. */
const claimSpacingMs = 150;
const maximumClaimRank = 20;
/** Attempts after which a node claims the relay role whatever its rank. */
const attemptsBeforeClaim = 2;
const maximumCandidates = 8;

type Welcome = Extract<Message, {type: 'welcome'}>;

/**
 * Connects this node to its data centre's relay, or makes it the relay. The platform's object
 * names the relay and is changed by conditional writes only. While the platform can't be read,
 * nodes choose the relay by rank. Two relays at once cost traffic but have no other effect.
 */
export class UplinkController implements Controller {
	handle(update: Update, event: Event, context: Context): void {
		if (update.pending.serving.state === 'stopping') {
			return;
		}

		if (
			update.pending.serving.state === 'resyncing' &&
			update.current.serving.state !== 'resyncing'
		) {
			this.#closeLinksAfterPause(update, context);
		}

		this.#detectLostLink(update, context);
		switch (event.type) {
			case 'tick': {
				this.#onTick(update, context);
				break;
			}

			case 'link-opened': {
				this.#register(update, event.link);
				break;
			}

			case 'link-message': {
				this.#onMessage(update, event.link, event.message, context);
				break;
			}

			case 'read-finished': {
				this.#onRead(update, event.outcome, context);
				break;
			}

			case 'write-finished': {
				this.#onWrite(update, event.object, event.outcome, context);
				break;
			}

			default: {
				break;
			}
		}
	}

	/** Closes every link after a pause, because the other nodes may regard this node as failed. */
	#closeLinksAfterPause(update: Update, context: Context): void {
		const wasRelay = update.pending.links.uplink.type === 'relay';
		for (const id of update.pending.links.links.keys()) {
			closeLink(update, id);
		}

		if (wasRelay) {
			update.emit({type: 'watch', isOn: false});
			update.set('platform', {isCurrent: false, isWriting: false});
		}

		scheduleSearch(update, context, 0);
	}

	#detectLostLink(update: Update, context: Context): void {
		const {uplink, links} = update.pending.links;
		switch (uplink.type) {
			case 'registered': {
				if (!links.has(uplink.link)) {
					markAddressFailed(update, context, uplink.address);
					update.emit({
						type: 'notify',
						notice: {type: 'relay-lost', relay: uplink.address},
					});
					scheduleSearch(update, context, 0);
				}

				break;
			}

			case 'connecting': {
				if (!links.has(uplink.link)) {
					scheduleSearch(update, context, uplink.attempt + 1);
				}

				break;
			}

			case 'relay':
			case 'searching':
			case 'reading':
			case 'claiming': {
				break;
			}
		}
	}

	#onTick(update: Update, context: Context): void {
		const {uplink} = update.pending.links;
		const {now, limits} = context;
		switch (uplink.type) {
			case 'searching': {
				if (now >= uplink.retryAt) {
					this.#startAttempt(update, uplink.attempt, context);
				}

				break;
			}

			case 'reading':
			case 'claiming': {
				if (now - uplink.startedAt > 2 * limits.registrationTimeoutMs) {
					scheduleSearch(update, context, uplink.attempt + 1);
				}

				break;
			}

			case 'relay':
			case 'connecting':
			case 'registered': {
				break;
			}
		}
	}

	#startAttempt(update: Update, attempt: number, context: Context): void {
		const {preferredRelay} = update.pending.links;
		update.set('links', {preferredRelay: undefined});
		const isUsable =
			preferredRelay !== undefined &&
			preferredRelay !== update.pending.roster.self.address &&
			!hasFailedRecently(update.pending.links, preferredRelay, context.now);
		if (isUsable) {
			this.#connect(update, preferredRelay, attempt, context);
			return;
		}

		setUplink(update, {type: 'reading', attempt, startedAt: context.now});
		update.emit({type: 'read-data-centre'});
	}

	#onRead(update: Update, outcome: ReadOutcome, context: Context): void {
		this.#storeReadOutcome(update, outcome);
		const {uplink} = update.pending.links;
		if (uplink.type === 'reading') {
			if (outcome.type === 'failed') {
				this.#continueWithoutPlatform(update, uplink.attempt, context);
			} else {
				this.#registerOrClaim(update, uplink.attempt, context);
			}
		}
	}

	#storeReadOutcome(update: Update, outcome: ReadOutcome): void {
		switch (outcome.type) {
			case 'found': {
				if (outcome.object.kind === 'DataCentre') {
					update.set('links', {dataCentreObject: outcome.object});
				}

				break;
			}

			case 'missing': {
				update.set('links', {dataCentreObject: undefined});
				break;
			}

			case 'failed': {
				update.emit({type: 'count', counter: 'read-failed'});
				break;
			}
		}
	}

	/**
	 * Registers with the named relay. If there is none that can be reached, claims the role when this
	 * node ranks first or has tried often enough, else tries again after a delay that grows with its
	 * rank.
	 */
	#registerOrClaim(update: Update, attempt: number, context: Context): void {
		const object = update.pending.links.dataCentreObject;
		if (object && isNamedRelay(update, object)) {
			becomeRelay(update, object, context);
			return;
		}

		const named =
			object && !hasNamedRelayRestarted(update.pending, object) ? object.spec.relay : undefined;
		const {self} = update.pending.roster;
		if (
			named !== undefined &&
			named !== self.address &&
			!hasFailedRecently(update.pending.links, named, context.now)
		) {
			this.#connect(update, named, attempt, context);
			return;
		}

		const rank = relayCandidates(update.pending, context).indexOf(self.address);
		if (rank === 0 || attempt >= attemptsBeforeClaim) {
			claimRelayRole(update, attempt, context);
			return;
		}

		const delayMs =
			Math.min(rank, maximumClaimRank) * claimSpacingMs + context.random.jitter(claimSpacingMs);
		setUplink(
			update,
			{
				type: 'searching',
				attempt: attempt + 1,
				retryAt: context.now + delayMs,
			},
			context.now,
		);
	}

	/**
	 * Becomes the relay if this node ranks first and has a version in force, or if there is no other
	 * candidate. Otherwise connects to the highest-ranked other candidate.
	 */
	#continueWithoutPlatform(update: Update, attempt: number, context: Context): void {
		const self = update.pending.roster.self.address;
		const candidates = relayCandidates(update.pending, context).slice(0, maximumCandidates);
		const next = candidates.find((address) => address !== self);
		const isBest = candidates[0] === self && update.pending.configuration.held !== undefined;
		if (isBest || next === undefined) {
			becomeRelay(update, undefined, context);
		} else {
			this.#connect(update, next, attempt, context);
		}
	}

	#connect(update: Update, address: string, attempt: number, context: Context): void {
		const link = openLink(update, context, address, 'uplink');
		setUplink(update, {
			type: 'connecting',
			attempt,
			link,
			address,
			startedAt: context.now,
		});
	}

	#register(update: Update, link: number): void {
		const {uplink} = update.pending.links;
		if (uplink.type === 'connecting' && uplink.link === link) {
			sendRegistration(update, link);
		}
	}

	#onMessage(update: Update, link: number, message: Message, context: Context): void {
		const {uplink} = update.pending.links;
		if (uplink.type === 'registered' && uplink.link === link) {
			this.#onRelayMessage(update, uplink, message, context);
		} else if (uplink.type === 'connecting' && uplink.link === link) {
			this.#onRegistrationAnswer(update, uplink, message, context);
		}
	}

	#onRelayMessage(
		update: Update,
		uplink: Extract<Uplink, {type: 'registered'}>,
		message: Message,
		context: Context,
	): void {
		update.set('serving', {relayReceivedAt: context.now});
		if (message.type === 'heartbeat' && message.isFresh !== uplink.isFresh) {
			setUplink(update, {...uplink, isFresh: message.isFresh});
		} else if (message.type === 'redirect') {
			closeLink(update, uplink.link);
			update.set('links', {preferredRelay: message.relay});
			scheduleSearch(update, context, 0);
		}
	}

	#onRegistrationAnswer(
		update: Update,
		uplink: Extract<Uplink, {type: 'connecting'}>,
		message: Message,
		context: Context,
	): void {
		switch (message.type) {
			case 'welcome': {
				this.#onWelcome(update, uplink.link, message, context);
				break;
			}

			case 'redirect': {
				closeLink(update, uplink.link);
				markAddressFailed(update, context, uplink.address);
				update.set('links', {preferredRelay: message.relay});
				scheduleSearch(update, context, uplink.attempt);
				break;
			}

			case 'retry-after': {
				closeLink(update, uplink.link);
				setUplink(
					update,
					{
						type: 'searching',
						attempt: uplink.attempt + 1,
						retryAt: context.now + message.delayMs + context.random.jitter(message.delayMs),
					},
					context.now,
				);
				break;
			}

			default: {
				break;
			}
		}
	}

	#onWelcome(update: Update, link: number, message: Welcome, context: Context): void {
		changeLink(update, link, {
			role: 'relay',
			address: message.record.address,
			dataCentre: message.record.dataCentre,
			report: message.report,
		});
		setUplink(update, {
			type: 'registered',
			link,
			address: message.record.address,
			isFresh: message.isFresh,
			relayReport: message.report,
		});
		update.set('serving', {relayReceivedAt: context.now});
		update.emit({
			type: 'notify',
			notice: {type: 'registered', relay: message.record.address},
		});
	}

	#onWrite(update: Update, object: PlatformObject, outcome: WriteOutcome, context: Context): void {
		if (object.kind !== 'DataCentre') {
			return;
		}

		const {uplink} = update.pending.links;
		const isClaim = uplink.type === 'claiming' || (uplink.type === 'relay' && !uplink.isNamed);
		if (outcome.type === 'written') {
			const written = {...object, resourceVersion: outcome.resourceVersion};
			update.set('links', {dataCentreObject: written});
			if (isClaim) {
				becomeRelay(update, written, context);
			}

			return;
		}

		if (uplink.type === 'claiming') {
			const counter = outcome.type === 'conflict' ? 'claim-conflict' : 'write-failed';
			update.emit({type: 'count', counter});
			scheduleSearch(update, context, outcome.type === 'conflict' ? 0 : uplink.attempt + 1);
		}
	}
}
