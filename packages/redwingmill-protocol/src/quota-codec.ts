import {type MessageInitShape} from '@bufbuild/protobuf';
import {type QuotaDemand, type QuotaReply, type QuotaReport} from 'redwingmill-core';
import {ProtocolError} from './errors.js';
import type * as wire from './generated/redwingmill/v1/datagram_pb.js';

const hundredthsPerUnit = 100;
const thousandthsPerUnit = 1000;
const tenthsPerUnit = 10;

export function encodeQuotaReport({
	incarnation,
	sequence,
	serverIncarnation,
	uses,
}: QuotaReport): MessageInitShape<typeof wire.QuotaReportSchema> {
	return {
		incarnation: BigInt(incarnation),
		sequence,
		serverIncarnation: BigInt(serverIncarnation),
		ids: uses.map(({id}) => id),
		epochs: uses.map(({epoch}) => epoch),
		asked: uses.map(({asked}) => asked),
		admitted: uses.map(({admitted}) => admitted),
	};
}

/** Throws {@link ProtocolError} if the lists differ in length, as the other decoders do. */
export function decodeQuotaReport(report: wire.QuotaReport): QuotaReport {
	const {ids, epochs, asked, admitted} = report;
	checkLengths(ids, [epochs, asked, admitted]);
	return {
		incarnation: Number(report.incarnation),
		sequence: report.sequence,
		serverIncarnation: Number(report.serverIncarnation),
		uses: ids.map((id, index) => ({
			id,
			epoch: epochs[index],
			asked: asked[index],
			admitted: admitted[index],
		})),
	};
}

export function encodeQuotaReply({
	incarnation,
	sequence,
	grants,
}: QuotaReply): MessageInitShape<typeof wire.QuotaReplySchema> {
	return {
		incarnation: BigInt(incarnation),
		sequence,
		ids: grants.map(({id}) => id),
		areOpen: grants.map(({isOpen}) => isOpen),
		epochs: grants.map(({epoch}) => epoch),
		admitted: grants.map(({admitted}) => admitted),
		// Rounded down, so that the parts of all nodes add up to no more than the whole.
		creditsInHundredths: grants.map(({credit}) => Math.floor(credit * hundredthsPerUnit)),
		callsPerThousandSeconds: grants.map(({perSecond}) =>
			Math.floor(perSecond * thousandthsPerUnit),
		),
	};
}

export function decodeQuotaReply(reply: wire.QuotaReply): QuotaReply {
	const {ids, areOpen, epochs, admitted, creditsInHundredths, callsPerThousandSeconds} = reply;
	checkLengths(ids, [areOpen, epochs, admitted, creditsInHundredths, callsPerThousandSeconds]);
	return {
		incarnation: Number(reply.incarnation),
		sequence: reply.sequence,
		grants: ids.map((id, index) => ({
			id,
			isOpen: areOpen[index],
			epoch: epochs[index],
			admitted: admitted[index],
			credit: creditsInHundredths[index] / hundredthsPerUnit,
			perSecond: callsPerThousandSeconds[index] / thousandthsPerUnit,
		})),
	};
}

export function encodeQuotaDemand({
	incarnation,
	sequence,
	entries,
}: QuotaDemand): MessageInitShape<typeof wire.QuotaDemandSchema> {
	return {
		incarnation: BigInt(incarnation),
		sequence,
		ids: entries.map(({id}) => id),
		epochs: entries.map(({epoch}) => epoch),
		// Rounded up, so that a fraction of a call still counts.
		admitted: entries.map(({admitted}) => BigInt(Math.ceil(admitted))),
		askedPerTenSeconds: entries.map(({askedPerSecond}) =>
			Math.round(askedPerSecond * tenthsPerUnit),
		),
		admittedPerTenSeconds: entries.map(({admittedPerSecond}) =>
			Math.round(admittedPerSecond * tenthsPerUnit),
		),
		levels: entries.map(({level}) => Math.floor(level)),
	};
}

export function decodeQuotaDemand(demand: wire.QuotaDemand): QuotaDemand {
	const {ids, epochs, admitted, askedPerTenSeconds, admittedPerTenSeconds, levels} = demand;
	checkLengths(ids, [epochs, admitted, askedPerTenSeconds, admittedPerTenSeconds, levels]);
	return {
		incarnation: Number(demand.incarnation),
		sequence: demand.sequence,
		entries: ids.map((id, index) => ({
			id,
			epoch: epochs[index],
			admitted: Number(admitted[index]),
			askedPerSecond: askedPerTenSeconds[index] / tenthsPerUnit,
			admittedPerSecond: admittedPerTenSeconds[index] / tenthsPerUnit,
			level: levels[index],
		})),
	};
}

function checkLengths(ids: readonly unknown[], lists: ReadonlyArray<readonly unknown[]>): void {
	if (lists.some((list) => list.length !== ids.length)) {
		throw new ProtocolError('lists of a quota datagram differ in length');
	}
}
