import {type QuotaBounds, type QuotaIndex, type QuotaView} from 'redwingmill-core';
import {type Random} from 'redwingmill-shared';
import {type Workspace} from 'redwingmill-text';

/** A message of the scheme, of whatever form it uses. */
export type Message = {readonly to: string; readonly datagram: unknown};

/** One start of a node under a scheme of keeping quotas. */
export type Participant = {
	/** Whether a report should be sent soon by {@link Participant.report}. */
	readonly isReportUrgent: boolean;
	update: (index: QuotaIndex, view: QuotaView, now: number) => void;
	admit: (workspace: Workspace, now: number) => boolean;
	report: (now: number) => readonly Message[];
	receive: (from: string, datagram: unknown, now: number) => readonly Message[];
	/** Called every 100 ms. */
	tick: (now: number) => readonly Message[];
};

export type ParticipantOptions = {
	readonly address: string;
	readonly incarnation: number;
	readonly bounds: QuotaBounds;
	readonly random: Random;
	/** Lowest address of the mesh, for schemes with one owner of all quotas. */
	readonly owner: string;
};

/** A way to keep quotas over all nodes. */
export type QuotaScheme = {
	readonly name: string;
	readonly create: (options: ParticipantOptions) => Participant;
};
