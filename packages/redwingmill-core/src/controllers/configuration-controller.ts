import {type ConfigurationSection, type Link} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {type Message, type Report} from '../model/message.js';
import {type PlatformObject} from '../model/platform-object.js';
import {checkText, type Snapshot} from '../model/snapshot.js';
import {contentFor, textOf} from '../model/text-content.js';
import {isNewerVersion, isSameVersion, type Version} from '../model/version.js';
import {changeLink, linkNumbersOf} from './link-actions.js';
import {newestStaged, reportOf} from './report.js';

/**
 * Limits the versions staged beside the one in force: one may be accepted while a newer one is
 * proposed.
 */
const maximumStagedVersions = 2;

/** Stages proposed versions, activates accepted ones and sends both to the linked nodes. */
export class ConfigurationController implements Controller {
	handle(update: Update, event: Event, context: Context): void {
		switch (event.type) {
			case 'object-observed': {
				this.#onObjectObserved(update, event.object);
				break;
			}

			case 'link-message': {
				this.#onMessage(update, event.link, event.message);
				break;
			}

			case 'tick': {
				this.#resend(update, context);
				break;
			}

			default: {
				break;
			}
		}

		this.#announceChanges(update, context);
		this.#synchroniseNewLinks(update, context);
	}

	#onObjectObserved(update: Update, object: PlatformObject): void {
		switch (object.kind) {
			case 'ConfigurationText': {
				this.#stage(update, object.spec.version, object.spec.text);
				break;
			}

			case 'Acceptance': {
				this.#activateFromText(update, object.spec.version, object.spec.text);
				break;
			}

			case 'DataCentre': {
				break;
			}
		}
	}

	#onMessage(update: Update, link: number, message: Message): void {
		switch (message.type) {
			case 'proposal': {
				this.#onProposal(update, link, message);
				break;
			}

			case 'acceptance': {
				this.#onAcceptance(update, link, message.version, true);
				break;
			}

			case 'configuration': {
				this.#activateFromText(update, message.version, message.text);
				break;
			}

			case 'configuration-request': {
				this.#onRequest(update, link, message.version);
				break;
			}

			case 'register':
			case 'welcome':
			case 'report': {
				this.#onReport(update, link, message.report);
				break;
			}

			default: {
				break;
			}
		}
	}

	/**
	 * Requests or activates a version that another node has in force, which is safe because such a
	 * version is accepted.
	 */
	#onReport(update: Update, link: number, report: Report): void {
		changeLink(update, link, {report});
		if (report.held) {
			this.#onAcceptance(update, link, report.held, false);
		}
	}

	/**
	 * Stages a proposed version, or requests its whole text. A proposal that changes nothing is
	 * answered with a report, because an earlier report may have been lost.
	 */
	#onProposal(
		update: Update,
		link: number,
		{version, content}: Extract<Message, {type: 'proposal'}>,
	): void {
		const before = update.pending.configuration;
		const text = textOf(content, knownTexts(before));
		if (text === undefined) {
			this.#requestVersion(update, link, version);
			return;
		}

		this.#stage(update, version, text);
		if (update.pending.configuration === before) {
			this.#sendReport(update, link);
		}
	}

	#requestVersion(update: Update, link: number, version: Version): void {
		const message = {type: 'configuration-request', version} as const;
		update.emit({type: 'send', links: [link], message});
	}

	#sendReport(update: Update, link: number): void {
		const report = reportOf(update.pending.configuration);
		update.emit({type: 'send', links: [link], message: {type: 'report', report}});
	}

	#onRequest(update: Update, link: number, requested: Version): void {
		const {held, staged} = update.pending.configuration;
		const proposal = staged.find(({version}) => isSameVersion(version, requested));
		if (proposal) {
			update.emit({type: 'send', links: [link], message: proposalOf(proposal)});
		} else if (held) {
			const {version, text} = held;
			update.emit({
				type: 'send',
				links: [link],
				message: {type: 'configuration', version, text},
			});
		}
	}

	#stage(update: Update, version: Version, text: string): void {
		const {configuration} = update.pending;
		if (!this.#isNewerThanHeld(update, version)) {
			return;
		}

		const existing = configuration.staged.find((entry) => entry.version.number === version.number);
		if (existing) {
			this.#countIfConflicting(update, existing.version, version);
			return;
		}

		const snapshot = this.#checkVersion(update, version, text);
		if (snapshot === undefined) {
			return;
		}

		const staged = [...configuration.staged, snapshot]
			.toSorted((a, b) => a.version.number - b.version.number)
			.slice(-maximumStagedVersions);
		update.set('configuration', {staged});
		update.emit({type: 'notify', notice: {type: 'version-staged', version}});
	}

	#checkVersion(update: Update, version: Version, text: string): Snapshot | undefined {
		if (isSameVersion(update.pending.configuration.refused?.version, version)) {
			return undefined;
		}

		const checked = checkText(version, text);
		switch (checked.type) {
			case 'accepted': {
				return checked.snapshot;
			}

			case 'refused': {
				update.set('configuration', {refused: checked.refusal});
				update.emit(
					{type: 'count', counter: 'version-refused'},
					{
						type: 'notify',
						notice: {type: 'version-refused', version, reasons: checked.refusal.reasons},
					},
				);
				return undefined;
			}

			case 'corrupt': {
				update.emit({type: 'count', counter: 'text-corrupt'});
				return undefined;
			}
		}
	}

	#isNewerThanHeld(update: Update, version: Version): boolean {
		const held = update.pending.configuration.held?.version;
		if (isNewerVersion(version, held)) {
			return true;
		}

		if (held?.number === version.number) {
			this.#countIfConflicting(update, held, version);
		} else {
			update.emit({type: 'count', counter: 'version-older'});
		}

		return false;
	}

	#countIfConflicting(update: Update, known: Version, other: Version): void {
		if (known.digest !== other.digest) {
			update.emit({type: 'count', counter: 'version-conflicting'});
		}
	}

	/** @param isReportExpected - whether the other node expects a report in reply. */
	#onAcceptance(update: Update, link: number, version: Version, isReportExpected: boolean): void {
		const {configuration} = update.pending;
		const held = configuration.held?.version;
		if (!isNewerVersion(version, held)) {
			if (held?.number === version.number) {
				this.#countIfConflicting(update, held, version);
			}

			if (isReportExpected) {
				this.#sendReport(update, link);
			}

			return;
		}

		const staged = configuration.staged.find((entry) => isSameVersion(entry.version, version));
		if (staged) {
			this.#activate(update, staged);
			return;
		}

		this.#requestVersion(update, link, version);
	}

	/** Activates an accepted version that was received with its text. */
	#activateFromText(update: Update, version: Version, text: string): void {
		const {configuration} = update.pending;
		if (!isNewerVersion(version, configuration.held?.version)) {
			return;
		}

		const staged = configuration.staged.find((entry) => isSameVersion(entry.version, version));
		const snapshot = staged ?? this.#checkVersion(update, version, text);
		if (snapshot) {
			this.#activate(update, snapshot);
		}
	}

	/** Puts the whole version in force in one commit. */
	#activate(update: Update, snapshot: Snapshot): void {
		const {configuration} = update.pending;
		update.set('configuration', {
			held: snapshot,
			staged: configuration.staged.filter((entry) =>
				isNewerVersion(entry.version, snapshot.version),
			),
		});
		update.emit({type: 'notify', notice: {type: 'version-activated', version: snapshot.version}});
	}

	/** Reports this event's changes to the relay or, on the relay, sends them to the other nodes. */
	#announceChanges(update: Update, context: Context): void {
		const previous = update.current.configuration;
		const {configuration, links} = update.pending;
		if (previous === configuration) {
			return;
		}

		const {uplink} = links;
		if (uplink.type === 'registered' && links.links.has(uplink.link)) {
			this.#sendReport(update, uplink.link);
		} else if (uplink.type === 'relay') {
			this.#announceAsRelay(update, previous, context);
		}
	}

	#announceAsRelay(update: Update, previous: ConfigurationSection, context: Context): void {
		const {configuration, links} = update.pending;
		const members = linkNumbersOf(links, 'member');
		const proposal = newestStaged(configuration);
		if (proposal && proposal !== newestStaged(previous)) {
			this.#propose(update, members, proposal, context);
		}

		if (configuration.held && configuration.held !== previous.held) {
			const {version} = configuration.held;
			const recipients = [...members, ...linkNumbersOf(links, 'relay')];
			this.#sendConfiguration(update, recipients, {type: 'acceptance', version}, context);
		}
	}

	/** Sends newly registered nodes the versions that they lack. */
	#synchroniseNewLinks(update: Update, context: Context): void {
		for (const link of update.pending.links.links.values()) {
			const isNew = update.current.links.links.get(link.id)?.role === undefined;
			if (isNew && link.role !== undefined) {
				this.#sendMissingVersions(update, link, context);
			}
		}
	}

	/** Resends versions that the other node's last report doesn't confirm. */
	#resend(update: Update, context: Context): void {
		const {now, limits} = context;
		if (update.pending.links.uplink.type !== 'relay') {
			return;
		}

		for (const link of update.pending.links.links.values()) {
			if (link.role !== undefined && now - link.configurationSentAt > limits.resendIntervalMs) {
				this.#sendMissingVersions(update, link, context);
			}
		}
	}

	#sendMissingVersions(update: Update, link: Link, context: Context): void {
		const {configuration, links} = update.pending;
		const {held} = configuration;
		if (held && isNewerVersion(held.version, link.report.held)) {
			this.#sendConfiguration(
				update,
				[link.id],
				{type: 'acceptance', version: held.version},
				context,
			);
		}

		const proposal = newestStaged(configuration);
		const isMember = link.role === 'member' && links.uplink.type === 'relay';
		if (proposal && isMember && needsVersion(link.report, proposal.version)) {
			this.#propose(update, [link.id], proposal, context);
		}
	}

	/** Sends a proposal, as a difference to nodes that have the same version in force as this one. */
	#propose(update: Update, ids: readonly number[], proposal: Snapshot, context: Context): void {
		const {held} = update.pending.configuration;
		const {links} = update.pending.links;
		const hasBase = (id: number) => isSameVersion(held?.version, links.get(id)?.report.held);
		const spliced = held && proposalOf(proposal, held);
		if (spliced) {
			this.#sendConfiguration(
				update,
				ids.filter((id) => hasBase(id)),
				spliced,
				context,
			);
		}

		this.#sendConfiguration(
			update,
			ids.filter((id) => !hasBase(id)),
			proposalOf(proposal),
			context,
		);
	}

	#sendConfiguration(
		update: Update,
		ids: readonly number[],
		message: Message,
		{now}: Context,
	): void {
		if (ids.length === 0) {
			return;
		}

		update.emit({type: 'send', links: ids, message});
		for (const id of ids) {
			changeLink(update, id, {configurationSentAt: now});
		}
	}
}

function proposalOf({version, text}: Snapshot, base?: Snapshot): Message {
	const baseText = base && {text: base.text, digest: base.version.digest};
	return {type: 'proposal', version, content: contentFor(text, baseText)};
}

function knownTexts({held, staged}: ConfigurationSection) {
	const snapshots = held ? [held, ...staged] : staged;
	return snapshots.map(({text, version}) => ({text, digest: version.digest}));
}

function needsVersion(report: Report, version: Version): boolean {
	return (
		!isSameVersion(report.staged, version) &&
		!isSameVersion(report.refused?.version, version) &&
		isNewerVersion(version, report.held)
	);
}
