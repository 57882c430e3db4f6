import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
	linkRoles,
	type Message,
	type Refusal,
	type Report,
	type SectionDigest,
	type TextContent,
	type Version,
} from 'redwingmill-core';
import {decodeCrashReport, encodeCrashReport} from './crash-report-codec.js';
import {ProtocolError} from './errors.js';
import {decodeEnum, requireField} from './fields.js';
import * as wire from './generated/redwingmill/v1/link_pb.js';
import {decodeRecord, encodeRecord} from './record-codec.js';

type Init<Schema extends Parameters<typeof create>[0]> = MessageInitShape<Schema>;

const hexadecimalRadix = 16;
const digestHexDigits = 16;

/** Encodes a message between nodes as the protobuf message. */
export function encodeMessage(message: Message): wire.Message {
	return create(wire.MessageSchema, {body: encodeBody(message)});
}

/**
 * Decodes a message. Throws {@link ProtocolError} if its body or a required field is missing,
 * or an enum value is unknown.
 */
export function decodeMessage({body}: wire.Message): Message {
	switch (body.case) {
		case 'register': {
			const {role, record, report, digests} = body.value;
			return {
				type: 'register',
				role: decodeEnum(linkRoles, role),
				record: decodeRecord(record),
				report: decodeReport(report),
				digests: digests.map((entry) => decodeSectionDigest(entry)),
			};
		}

		case 'welcome': {
			const {record, report, isFresh, digests} = body.value;
			return {
				type: 'welcome',
				record: decodeRecord(record),
				report: decodeReport(report),
				isFresh,
				digests: digests.map((entry) => decodeSectionDigest(entry)),
			};
		}

		case 'retryAfter': {
			return {type: 'retry-after', delayMs: body.value.delayMs};
		}

		case 'redirect': {
			return {type: 'redirect', relay: body.value.relay};
		}

		case 'heartbeat': {
			const {isFresh, rosterDigest} = body.value;
			return {
				type: 'heartbeat',
				isFresh,
				rosterDigest: decodeDigest(rosterDigest),
			};
		}

		case 'sync': {
			const {record, digests} = body.value;
			return {
				type: 'sync',
				record: decodeRecord(record),
				digests: digests.map((entry) => decodeSectionDigest(entry)),
			};
		}

		case 'records': {
			return {type: 'records', records: body.value.records.map((entry) => decodeRecord(entry))};
		}

		case 'proposal': {
			const {version, content} = body.value;
			return {
				type: 'proposal',
				version: requireField(decodeVersion(version)),
				content: decodeContent(content),
			};
		}

		case 'configuration': {
			const {version, text} = body.value;
			return {type: 'configuration', version: requireField(decodeVersion(version)), text};
		}

		case 'acceptance': {
			return {type: 'acceptance', version: requireField(decodeVersion(body.value.version))};
		}

		case 'report': {
			return {type: 'report', report: decodeReport(body.value)};
		}

		case 'configurationRequest': {
			return {
				type: 'configuration-request',
				version: requireField(decodeVersion(body.value.version)),
			};
		}

		case 'suspect': {
			return {type: 'suspect', report: decodeCrashReport(body.value), node: body.value.node};
		}

		case undefined: {
			throw new ProtocolError('message has no body or one of an unknown type');
		}
	}
}

function encodeBody(message: Message): Init<typeof wire.MessageSchema>['body'] {
	switch (message.type) {
		case 'register': {
			const {role, record, report, digests} = message;
			return {
				case: 'register',
				value: {
					role: linkRoles.indexOf(role) + 1,
					record: encodeRecord(record),
					report: encodeReport(report),
					digests: digests.map((entry) => encodeSectionDigest(entry)),
				},
			};
		}

		case 'welcome': {
			const {record, report, isFresh, digests} = message;
			return {
				case: 'welcome',
				value: {
					record: encodeRecord(record),
					report: encodeReport(report),
					isFresh,
					digests: digests.map((entry) => encodeSectionDigest(entry)),
				},
			};
		}

		case 'retry-after': {
			return {case: 'retryAfter', value: {delayMs: Math.round(message.delayMs)}};
		}

		case 'redirect': {
			return {case: 'redirect', value: {relay: message.relay}};
		}

		case 'heartbeat': {
			const {isFresh, rosterDigest} = message;
			return {
				case: 'heartbeat',
				value: {
					isFresh,
					rosterDigest: encodeDigest(rosterDigest),
				},
			};
		}

		case 'sync': {
			const {record, digests} = message;
			return {
				case: 'sync',
				value: {
					record: encodeRecord(record),
					digests: digests.map((entry) => encodeSectionDigest(entry)),
				},
			};
		}

		case 'records': {
			return {
				case: 'records',
				value: {records: message.records.map((entry) => encodeRecord(entry))},
			};
		}

		case 'proposal': {
			const {version, content} = message;
			const value = {version: encodeVersion(version), content: encodeContent(content)};
			return {case: 'proposal', value};
		}

		case 'configuration': {
			const {version, text} = message;
			return {case: 'configuration', value: {version: encodeVersion(version), text}};
		}

		case 'acceptance': {
			return {case: 'acceptance', value: {version: encodeVersion(message.version)}};
		}

		case 'report': {
			return {case: 'report', value: encodeReport(message.report)};
		}

		case 'configuration-request': {
			return {case: 'configurationRequest', value: {version: encodeVersion(message.version)}};
		}

		case 'suspect': {
			const {report, node} = message;
			return {case: 'suspect', value: {...encodeCrashReport(report), node}};
		}
	}
}

function encodeContent(content: TextContent): Init<typeof wire.ProposalSchema>['content'] {
	switch (content.type) {
		case 'whole': {
			return {case: 'text', value: content.text};
		}

		case 'splice': {
			const {base, prefix, suffix, insertion} = content;
			return {case: 'splice', value: {base: encodeDigest(base), prefix, suffix, insertion}};
		}
	}
}

function decodeContent(content: wire.Proposal['content']): TextContent {
	switch (content.case) {
		case 'text': {
			return {type: 'whole', text: content.value};
		}

		case 'splice': {
			const {base, prefix, suffix, insertion} = content.value;
			return {type: 'splice', base: decodeDigest(base), prefix, suffix, insertion};
		}

		case undefined: {
			throw new ProtocolError('proposal has neither a text nor a splice');
		}
	}
}

function encodeReport({held, staged, refused}: Report): Init<typeof wire.ReportSchema> {
	return {
		held: held && encodeVersion(held),
		staged: staged && encodeVersion(staged),
		refused: refused && {
			version: encodeVersion(refused.version),
			reasons: [...refused.reasons],
		},
	};
}

function decodeReport(report: wire.Report | undefined): Report {
	return {
		held: decodeVersion(report?.held),
		staged: decodeVersion(report?.staged),
		refused: decodeRefusal(report?.refused),
	};
}

function decodeRefusal(refusal: wire.Refusal | undefined): Refusal | undefined {
	return (
		refusal && {
			version: requireField(decodeVersion(refusal.version)),
			reasons: refusal.reasons,
		}
	);
}

function encodeVersion({number, digest}: Version): Init<typeof wire.VersionSchema> {
	return {number, digest: encodeDigest(digest)};
}

function decodeVersion(version: wire.Version | undefined): Version | undefined {
	return version && {number: version.number, digest: decodeDigest(version.digest)};
}

function encodeSectionDigest({
	dataCentre,
	digest,
}: SectionDigest): Init<typeof wire.SectionDigestSchema> {
	return {dataCentre, digest: encodeDigest(digest)};
}

function decodeSectionDigest({dataCentre, digest}: wire.SectionDigest): SectionDigest {
	return {dataCentre, digest: decodeDigest(digest)};
}

function encodeDigest(digest: string): bigint {
	return BigInt(`0x${digest}`);
}

function decodeDigest(digest: bigint): string {
	return digest.toString(hexadecimalRadix).padStart(digestHexDigits, '0');
}
