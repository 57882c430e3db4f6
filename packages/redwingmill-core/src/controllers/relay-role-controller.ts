import {type Uplink} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event, type ReadOutcome} from '../engine/event.js';
import {type Message} from '../model/message.js';
import {type PlatformObject} from '../model/platform-object.js';
import {outranksSelf, relayCandidates} from './candidates.js';
import {closeLink, hasFailedRecently, markAddressFailed, openLink} from './link-actions.js';
import {
	becomeRelay,
	claimRelayRole,
	hasNamedRelayRestarted,
	isNamedRelay,
	sendRegistration,
	setUplink,
	stepDown,
} from './uplink-actions.js';

type RelayUplink = Extract<Uplink, {type: 'relay'}>;

/**
 * Decides whether a relay keeps its role. A relay that the platform's object doesn't name claims the
 * role by a write of the object or probes for a better relay; one that was replaced steps down.
 */
export class RelayRoleController implements Controller {
	handle(update: Update, event: Event, context: Context): void {
		this.#clearClosedProbe(update);
		const {uplink} = update.pending.links;
		const wasRelay = update.current.links.uplink.type === 'relay';
		if (uplink.type !== 'relay' || !wasRelay || update.pending.serving.state === 'stopping') {
			return;
		}

		switch (event.type) {
			case 'tick': {
				this.#readIfDue(update, context);
				break;
			}

			case 'link-opened': {
				if (uplink.probe === event.link) {
					sendRegistration(update, event.link);
				}

				break;
			}

			case 'link-message': {
				if (uplink.probe === event.link) {
					this.#onProbeAnswer(update, uplink, event.message, context);
				}

				break;
			}

			case 'read-finished': {
				this.#onRead(update, uplink, event.outcome, context);
				break;
			}

			case 'object-observed': {
				this.#onObserved(update, event.object, context);
				break;
			}

			default: {
				break;
			}
		}
	}

	#clearClosedProbe(update: Update): void {
		const {uplink, links} = update.pending.links;
		if (uplink.type === 'relay' && uplink.probe !== undefined && !links.has(uplink.probe)) {
			setUplink(update, {...uplink, probe: undefined});
		}
	}

	/** Requests a periodic read of the data centre's object while it doesn't name this relay. */
	#readIfDue(update: Update, {now, limits}: Context): void {
		const {uplink} = update.pending.links;
		if (uplink.type === 'relay' && !uplink.isNamed && now >= uplink.probeAt) {
			setUplink(update, {...uplink, probeAt: now + limits.relayProbeIntervalMs});
			update.emit({type: 'read-data-centre'});
		}
	}

	/** Decides what a relay does after it has read, or failed to read, the data centre's object. */
	#onRead(update: Update, uplink: RelayUplink, outcome: ReadOutcome, context: Context): void {
		const object = update.pending.links.dataCentreObject;
		if (outcome.type === 'failed') {
			if (!uplink.isNamed) {
				this.#probeCandidate(update, uplink, context);
			}
		} else if (object && isNamedRelay(update, object)) {
			becomeRelay(update, object, context);
		} else if (
			object &&
			!hasNamedRelayRestarted(update.pending, object) &&
			object.spec.relay !== update.pending.roster.self.address &&
			!hasFailedRecently(update.pending.links, object.spec.relay, context.now)
		) {
			this.#stepDownOrProbe(update, uplink, object.spec.relay, context);
		} else {
			claimRelayRole(update, 0, context);
		}
	}

	#stepDownOrProbe(update: Update, uplink: RelayUplink, relay: string, context: Context): void {
		if (uplink.isNamed) {
			stepDown(update, relay, context);
		} else {
			this.#probe(update, uplink, relay, context);
		}
	}

	#probeCandidate(update: Update, uplink: RelayUplink, context: Context): void {
		const self = update.pending.roster.self.address;
		const {preferredRelay: hint, links} = update.pending.links;
		const linked = new Set([...links.values()].map((link) => link.address));
		const unlinked = relayCandidates(update.pending, context).filter(
			(address) => address !== self && !linked.has(address),
		);
		const next = hint ?? unlinked[context.random.below(unlinked.length)];
		update.set('links', {preferredRelay: undefined});
		if (next !== undefined && next !== self) {
			this.#probe(update, uplink, next, context);
		}
	}

	#probe(update: Update, uplink: RelayUplink, address: string, context: Context): void {
		if (uplink.probe === undefined) {
			const probe = openLink(update, context, address, 'uplink');
			setUplink(update, {...uplink, probe});
		}
	}

	/**
	 * Steps down for the probed relay if that one is named by the platform or ranks higher, or if
	 * this node has no version in force.
	 */
	#onProbeAnswer(update: Update, uplink: RelayUplink, message: Message, context: Context): void {
		if (uplink.probe === undefined) {
			return;
		}

		const probed = update.pending.links.links.get(uplink.probe)?.address;
		closeLink(update, uplink.probe);
		setUplink(update, {...uplink, probe: undefined});
		if (message.type === 'redirect') {
			this.#onProbeRedirect(update, probed, message.relay, context);
		} else if (message.type === 'welcome') {
			const other = message.record.address;
			const hasNoVersion = update.pending.configuration.held === undefined;
			const isNamed = update.pending.links.dataCentreObject?.spec.relay === other;
			if (hasNoVersion || isNamed || outranksSelf(update.pending, other)) {
				stepDown(update, other, context);
			}
		}
	}

	/**
	 * Stores the relay that the answer names as the next candidate. A probed node that is registered
	 * with this one isn't a relay, so it is marked as failed.
	 */
	#onProbeRedirect(
		update: Update,
		probed: string | undefined,
		relay: string,
		context: Context,
	): void {
		if (relay !== update.pending.roster.self.address) {
			update.set('links', {preferredRelay: relay});
		} else if (probed !== undefined) {
			markAddressFailed(update, context, probed);
		}
	}

	/** Steps down when the watch shows that the platform names another relay. */
	#onObserved(update: Update, object: PlatformObject, context: Context): void {
		const {uplink, dataCentreObject} = update.pending.links;
		const {self} = update.pending.roster;
		const isLocal = object.kind === 'DataCentre' && object.name === self.dataCentre;
		if (!isLocal || uplink.type !== 'relay' || !uplink.isNamed) {
			return;
		}

		if (object.resourceVersion <= (dataCentreObject?.resourceVersion ?? 0)) {
			return;
		}

		update.set('links', {dataCentreObject: object});
		if (!isNamedRelay(update, object)) {
			stepDown(update, object.spec.relay, context);
		}
	}
}
