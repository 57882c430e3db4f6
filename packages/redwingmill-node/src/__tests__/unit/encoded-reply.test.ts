import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {type ConfigurationReply} from '../../control/configuration-history.js';
import {acceptGzip, decodeReply, encodeReply} from '../../control/encoded-reply.js';

function replyWith(routes: number): ConfigurationReply {
	const entries = Array.from({length: routes}, (_value, index): [string, unknown] => [
		`route ${index}`,
		{host: 'idle.example', path: `/idle-${index}/`, deadlineMs: 1000},
	]);
	return {type: 'whole', source: {version: 7, routes: Object.fromEntries(entries)}};
}

describe('reply with a configuration', () => {
	it('is read as it was sent, compressed to less than a fifth where it is large', () => {
		const reply = replyWith(1500);
		const {headers, body} = encodeReply(reply, acceptGzip);
		expect(body.length).to.be.below(JSON.stringify(reply).length / 5);
		expect(decodeReply(headers, body)).to.deep.equal(reply);
	});

	it('is compressed once for all nodes that ask for it', () => {
		const reply = replyWith(1500);
		expect(encodeReply(reply, acceptGzip)).to.equal(encodeReply(reply, acceptGzip));
	});

	it('is sent as it is to a node that takes no compressed one, and where it is small', () => {
		for (const [reply, headers] of [
			[replyWith(1500), {}],
			[replyWith(1), acceptGzip],
		] as const) {
			const encoded = encodeReply(reply, headers);
			expect(encoded.headers).to.not.have.property('content-encoding');
			expect(decodeReply(encoded.headers, encoded.body)).to.deep.equal(reply);
		}
	});

	it('counts as none if it is malformed', () => {
		const gzip = {'content-encoding': 'gzip'};
		expect(decodeReply(gzip, Buffer.from('no gzip'))).to.deep.equal({type: 'none'});
		expect(decodeReply({}, Buffer.from('{"type"'))).to.deep.equal({type: 'none'});
	});
});
