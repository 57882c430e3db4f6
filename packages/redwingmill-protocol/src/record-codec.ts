import {type MessageInitShape} from '@bufbuild/protobuf';
import {faultsOfRecord, memberStatuses, workerStates, type NodeRecord} from 'redwingmill-core';
import {ProtocolError} from './errors.js';
import {decodeEnum, requireField} from './fields.js';
import type * as wire from './generated/redwingmill/v1/link_pb.js';

/** Encodes a node record as the protobuf message. */
export function encodeRecord(record: NodeRecord): MessageInitShape<typeof wire.NodeRecordSchema> {
	const {worker} = record;
	return {
		address: record.address,
		dataCentre: record.dataCentre,
		incarnation: BigInt(record.incarnation),
		revision: record.revision,
		status: memberStatuses.indexOf(record.status) + 1,
		gateAddress: record.gateAddress,
		worker: worker && {
			...worker,
			state: workerStates.indexOf(worker.state) + 1,
			startedAt: BigInt(worker.startedAt ?? 0),
		},
		linkMbps: record.linkMbps,
	};
}

/**
 * Decodes a node record. Throws {@link ProtocolError} if a required field is missing or out of its range,
 * or an enum value is unknown.
 */
export function decodeRecord(record: wire.NodeRecord | undefined): NodeRecord {
	const {worker, ...fields} = requireField(record);
	const decoded: NodeRecord = {
		address: fields.address,
		dataCentre: fields.dataCentre,
		incarnation: Number(fields.incarnation),
		revision: fields.revision,
		status: decodeEnum(memberStatuses, fields.status),
		gateAddress: fields.gateAddress,
		worker: worker && {
			service: worker.service,
			address: worker.address,
			slots: worker.slots,
			state: decodeEnum(workerStates, worker.state),
			...(worker.instance === '' ? {} : {instance: worker.instance}),
			...(worker.startedAt === 0n ? {} : {startedAt: Number(worker.startedAt)}),
			...(worker.version === '' ? {} : {version: worker.version}),
		},
		...(fields.linkMbps === 0 ? {} : {linkMbps: fields.linkMbps}),
	};
	const faults = faultsOfRecord(decoded);
	if (faults.length > 0) {
		throw new ProtocolError(`a node record is malformed: ${faults.join('; ')}`);
	}

	return decoded;
}
