import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {expect} from 'chai';
import {type Message, type NodeRecord} from 'redwingmill-core';
import {decodeMessage, encodeMessage, LinkRequestSchema, ProtocolError} from '../../index.js';

const version = {number: 3, digest: '00ff00ff00ff00ff'};
const report = {
	held: version,
	staged: undefined,
	refused: {version, reasons: ['1:1: syntax error']},
};
const record: NodeRecord = {
	address: '10.0.0.1:8082',
	dataCentre: 'dc-a',
	incarnation: 1_764_800_000_000_123,
	revision: 4,
	status: 'lapsed',
	gateAddress: '10.0.0.1:8081',
	worker: {service: 'diary', address: '10.0.0.1:9000', slots: 6, state: 'draining'},
};
const digests = [{dataCentre: 'dc-a', digest: '0123456789abcdef'}];

const messages: readonly Message[] = [
	{type: 'register', role: 'relay', record, report, digests},
	{type: 'welcome', record: {...record, worker: undefined}, report, isFresh: true, digests},
	{type: 'retry-after', delayMs: 250},
	{type: 'redirect', relay: '10.0.0.2:8082'},
	{type: 'heartbeat', isFresh: false, rosterDigest: 'ffffffffffffffff'},
	{type: 'sync', record, digests},
	{type: 'records', records: [record]},
	{type: 'proposal', version, content: {type: 'whole', text: '{}'}},
	{
		type: 'proposal',
		version,
		content: {type: 'splice', base: version.digest, prefix: 1, suffix: 2, insertion: 'x'},
	},
	{type: 'acceptance', version},
	{type: 'report', report},
	{type: 'configuration-request', version},
	{type: 'configuration', version, text: '{}'},
	{
		type: 'suspect',
		report: {isCleared: true, fingerprint: 'abc'},
		node: '10.0.0.1:8082',
	},
	{
		type: 'suspect',
		report: {
			isCleared: false,
			fingerprint: 'abc',
			crashes: [{node: '10.0.0.2:8082', incarnation: 7, count: 3}],
			ageMs: 20,
		},
		node: '10.0.0.1:8082',
	},
];

describe('message codec', () => {
	for (const message of messages) {
		it(`decodes an encoded ${message.type} to an equal message`, () => {
			const bytes = toBinary(
				LinkRequestSchema,
				create(LinkRequestSchema, {message: encodeMessage(message)}),
			);
			const decoded = fromBinary(LinkRequestSchema, bytes).message;
			expect(decoded && decodeMessage(decoded)).to.deep.equal(message);
		});
	}

	it('rejects a message without a body or without a required field', () => {
		const empty = create(LinkRequestSchema, {message: {}}).message;
		expect(() => empty && decodeMessage(empty)).to.throw(ProtocolError);
		const incomplete = create(LinkRequestSchema, {
			message: {body: {case: 'acceptance', value: {}}},
		}).message;
		expect(() => incomplete && decodeMessage(incomplete)).to.throw(ProtocolError);
	});
});
