import {create, fromBinary, toBinary, type MessageInitShape} from '@bufbuild/protobuf';
import {type Datagram, type NodeStatus, type ReportedLoad, type WorkerLoad} from 'redwingmill-core';
import {decodeCrashReport, encodeCrashReport} from './crash-report-codec.js';
import {ProtocolError} from './errors.js';
import * as wire from './generated/redwingmill/v1/datagram_pb.js';
import {
	decodeQuotaDemand,
	decodeQuotaReply,
	decodeQuotaReport,
	encodeQuotaDemand,
	encodeQuotaReply,
	encodeQuotaReport,
} from './quota-codec.js';
import {decodeRecord, encodeRecord} from './record-codec.js';
import {
	decodeRollout,
	decodeRolloutEvidence,
	encodeRollout,
	encodeRolloutEvidence,
} from './rollout-codec.js';

const hundredthsPerUnit = 100;
/** Seconds over which the calls that a worker takes are given. */
const limitSeconds = 10;
const tenthsPerMs = 10;
/** Stands for the load of a node that has none; the run time of a known load is above 0. */
const unknownLoad = {};

/** Encodes a datagram as protobuf bytes. */
export function encodeDatagram(datagram: Datagram): Uint8Array {
	const message = create(wire.DatagramSchema, {body: encodeBody(datagram)});
	return toBinary(wire.DatagramSchema, message);
}

/** Decodes a datagram. Throws {@link ProtocolError} if the bytes are malformed or incomplete. */
export function decodeDatagram(bytes: Uint8Array): Datagram {
	const {body} = parseDatagram(bytes);
	switch (body.case) {
		case 'announcement': {
			const {record, version, wantsReply, storeEra} = body.value;
			return {
				type: 'announcement',
				record: decodeRecord(record),
				version: Number(version),
				wantsReply,
				storeEra,
			};
		}

		case 'pulse': {
			const {incarnation, revision, version, load, isWatching, crashDigest, storeEra} = body.value;
			return {
				type: 'pulse',
				incarnation: Number(incarnation),
				revision,
				version: Number(version),
				load: load && decodeLoad(load),
				isWatching,
				crashDigest,
				storeEra,
			};
		}

		case 'digest': {
			return decodeDigest(body.value);
		}

		case 'statusRequest': {
			return {type: 'status-request', dataCentreId: body.value.dataCentreId};
		}

		case 'recordRequest': {
			return {type: 'record-request', ids: body.value.ids};
		}

		case 'recordList': {
			return {type: 'records', records: body.value.records.map((record) => decodeRecord(record))};
		}

		case 'departure': {
			const {instance, startedAt} = body.value;
			return {
				type: 'departure',
				instance,
				...(startedAt === 0n ? {} : {startedAt: Number(startedAt)}),
			};
		}

		case 'inquiry': {
			return {type: 'inquiry'};
		}

		case 'outdated': {
			return {type: 'outdated', incarnation: Number(body.value.incarnation)};
		}

		case 'suspicion': {
			return {type: 'suspicion', report: decodeCrashReport(body.value)};
		}

		case 'quotaReport': {
			return {type: 'quota-report', report: decodeQuotaReport(body.value)};
		}

		case 'quotaReply': {
			return {type: 'quota-reply', reply: decodeQuotaReply(body.value)};
		}

		case 'quotaDemand': {
			return {type: 'quota-demand', demand: decodeQuotaDemand(body.value)};
		}

		case 'rollout': {
			return decodeRollout(body.value);
		}

		case 'rolloutEvidence': {
			return decodeRolloutEvidence(body.value);
		}

		case undefined: {
			throw new ProtocolError('datagram has no body or one of an unknown type');
		}
	}
}

function parseDatagram(bytes: Uint8Array): wire.Datagram {
	try {
		return fromBinary(wire.DatagramSchema, bytes);
	} catch (error) {
		throw new ProtocolError('datagram is not valid protobuf', {cause: error});
	}
}

function encodeBody(datagram: Datagram): MessageInitShape<typeof wire.DatagramSchema>['body'] {
	switch (datagram.type) {
		case 'announcement': {
			const {record, version, ...fields} = datagram;
			const value = {...fields, record: encodeRecord(record), version: BigInt(version)};
			return {case: 'announcement', value};
		}

		case 'pulse': {
			const {incarnation, version, load, ...fields} = datagram;
			const value = {
				...fields,
				incarnation: BigInt(incarnation),
				version: BigInt(version),
				load: load && encodeLoad(load),
			};
			return {case: 'pulse', value};
		}

		case 'digest': {
			return {case: 'digest', value: encodeDigest(datagram)};
		}

		case 'status-request': {
			return {case: 'statusRequest', value: {dataCentreId: datagram.dataCentreId}};
		}

		case 'record-request': {
			return {case: 'recordRequest', value: {ids: [...datagram.ids]}};
		}

		case 'records': {
			const records = datagram.records.map((record) => encodeRecord(record));
			return {case: 'recordList', value: {records}};
		}

		case 'departure': {
			const {instance, startedAt = 0} = datagram;
			return {case: 'departure', value: {instance, startedAt: BigInt(startedAt)}};
		}

		case 'inquiry': {
			return {case: 'inquiry', value: {}};
		}

		case 'outdated': {
			return {case: 'outdated', value: {incarnation: BigInt(datagram.incarnation)}};
		}

		case 'suspicion': {
			return {case: 'suspicion', value: encodeCrashReport(datagram.report)};
		}

		case 'quota-report': {
			return {case: 'quotaReport', value: encodeQuotaReport(datagram.report)};
		}

		case 'quota-reply': {
			return {case: 'quotaReply', value: encodeQuotaReply(datagram.reply)};
		}

		case 'quota-demand': {
			return {case: 'quotaDemand', value: encodeQuotaDemand(datagram.demand)};
		}

		case 'rollout': {
			return {case: 'rollout', value: encodeRollout(datagram)};
		}

		case 'rollout-evidence': {
			return {case: 'rolloutEvidence', value: encodeRolloutEvidence(datagram)};
		}
	}
}

type Digest = Extract<Datagram, {type: 'digest'}>;

function encodeDigest({
	incarnation,
	version,
	summaries,
	statuses,
	...fields
}: Digest): MessageInitShape<typeof wire.DigestSchema> {
	const hasLoads = statuses.some(({load}) => load !== undefined);
	return {
		...fields,
		incarnation: BigInt(incarnation),
		version: BigInt(version),
		summaries: summaries.map((summary) => ({...summary, ageMs: Math.round(summary.ageMs)})),
		ids: statuses.map(({id}) => id),
		stamps: statuses.map(({stamp}) => stamp),
		agesMs: statuses.map(({ageMs}) => Math.round(ageMs)),
		loads: hasLoads
			? statuses.map(({load}) => (load ? encodeReportedLoad(load) : unknownLoad))
			: [],
	};
}

function encodeReportedLoad({load, ageMs}: ReportedLoad): MessageInitShape<typeof wire.LoadSchema> {
	return {...encodeLoad(load), ageMs: Math.round(ageMs)};
}

function decodeDigest(digest: wire.Digest): Digest {
	const {incarnation, revision, version, isWatching, crashDigest, storeEra, ids, loads} = digest;
	if (digest.stamps.length !== ids.length || digest.agesMs.length !== ids.length) {
		throw new ProtocolError('lists of a digest differ in length');
	}

	return {
		type: 'digest',
		incarnation: Number(incarnation),
		revision,
		version: Number(version),
		isWatching,
		crashDigest,
		storeEra,
		summaries: digest.summaries.map(({id, stampSum, ageMs}) => ({id, stampSum, ageMs})),
		statuses: ids.map((id, index): NodeStatus => {
			const load = loads.at(index);
			const isKnown = load !== undefined && load.runTenthsMs > 0;
			return {
				id,
				stamp: digest.stamps[index],
				ageMs: digest.agesMs[index],
				...(isKnown ? {load: {load: decodeLoad(load), ageMs: load.ageMs}} : {}),
			};
		}),
	};
}

function encodeLoad({
	callsPerSlot,
	waitMs,
	runMs,
	failureShare,
	allowance,
	hostTime = 0,
}: WorkerLoad): MessageInitShape<typeof wire.LoadSchema> {
	return {
		callsPerHundredSlots: Math.round(callsPerSlot * hundredthsPerUnit),
		waitMs: Math.round(waitMs),
		runTenthsMs: Math.round(runMs * tenthsPerMs),
		failuresPerHundred: Math.round(failureShare * hundredthsPerUnit),
		limitPerTenSeconds: Math.round((allowance?.perSecond ?? 0) * limitSeconds),
		limitWaitMs: Math.round(allowance?.waitMs ?? 0),
		hostTimeHundredths: Math.round(hostTime * hundredthsPerUnit),
	};
}

function decodeLoad({
	callsPerHundredSlots,
	waitMs,
	runTenthsMs,
	failuresPerHundred,
	limitPerTenSeconds,
	limitWaitMs,
	hostTimeHundredths,
}: wire.Load): WorkerLoad {
	const allowance = {perSecond: limitPerTenSeconds / limitSeconds, waitMs: limitWaitMs};
	return {
		callsPerSlot: callsPerHundredSlots / hundredthsPerUnit,
		waitMs,
		runMs: runTenthsMs / tenthsPerMs,
		failureShare: failuresPerHundred / hundredthsPerUnit,
		...(limitPerTenSeconds > 0 && {allowance}),
		...(hostTimeHundredths > 0 && {hostTime: hostTimeHundredths / hundredthsPerUnit}),
	};
}
