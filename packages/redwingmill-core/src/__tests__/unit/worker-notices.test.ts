import {expect} from 'chai';
import {parseStatedLimit, type StatedLimit} from '../../index.js';
import {WorkerNotices} from '../../call/worker-notices.js';

const none: StatedLimit = {type: 'none'};

function stated(perSecond: number): StatedLimit {
	return {type: 'stated', perSecond};
}

function apply(notices: WorkerNotices, limit: StatedLimit, sentAt: number, now: number) {
	return notices.apply({limit, isLeaving: false}, sentAt, now);
}

describe('WorkerNotices', () => {
	it('keeps a limit until a call that was sent under it is answered without one', () => {
		const notices = new WorkerNotices();
		apply(notices, stated(5), 0, 100);
		apply(notices, none, 50, 110);
		expect(notices.perSecond).to.equal(5);
		apply(notices, none, 100, 130);
		expect(notices.perSecond).to.equal(undefined);
	});

	it('reports each change once', () => {
		const notices = new WorkerNotices();
		expect(apply(notices, stated(5), 0, 10)).to.deep.equal([
			{type: 'limit-changed', previous: undefined, perSecond: 5},
		]);
		expect(apply(notices, stated(5), 10, 20)).to.deep.equal([]);
		expect(apply(notices, stated(2), 20, 30)).to.deep.equal([
			{type: 'limit-changed', previous: 5, perSecond: 2},
		]);
	});

	it('adopts what another node knows only before the worker has responded', () => {
		const notices = new WorkerNotices();
		expect(notices.adopt(3, 5)).to.have.length(1);
		expect(notices.perSecond).to.equal(3);
		apply(notices, none, 0, 10);
		expect(notices.perSecond).to.equal(undefined);
		expect(notices.adopt(3, 20)).to.deep.equal([]);
	});

	it('holds the limit before a malformed one, and reports each malformed text once', () => {
		const notices = new WorkerNotices();
		apply(notices, stated(5), 0, 0);
		const malformed = parseStatedLimit('fast');
		expect(apply(notices, malformed, 10, 20)).to.deep.equal([
			{type: 'limit-malformed', text: 'fast'},
		]);
		expect(apply(notices, malformed, 10, 20)).to.deep.equal([]);
		expect(notices.perSecond).to.equal(5);
	});

	it('stays leaving once the worker has said so', () => {
		const notices = new WorkerNotices();
		expect(notices.apply({limit: none, isLeaving: true}, 0, 1)).to.deep.equal([{type: 'leaving'}]);
		expect(notices.apply({limit: none, isLeaving: false}, 2, 3)).to.deep.equal([]);
		expect(notices.isLeaving).to.equal(true);
	});
});

describe('parseStatedLimit', () => {
	it('reads decimal numbers, with blanks around them', () => {
		expect(parseStatedLimit('20.6')).to.deep.equal(stated(20.6));
		expect(parseStatedLimit(' 0 ')).to.deep.equal(stated(0));
		expect(parseStatedLimit(undefined)).to.deep.equal(none);
	});

	it('rejects everything else', () => {
		const texts = [
			'',
			' ',
			'NaN',
			'Infinity',
			'-1',
			'+1',
			'1e9',
			'0x10',
			'1,5',
			'5, 6',
			'.5',
			'5.',
		];
		for (const text of [...texts, '9'.repeat(400), `0.${'1'.repeat(400)}`]) {
			expect(parseStatedLimit(text).type, text).to.equal('malformed');
		}

		expect(parseStatedLimit(['5', '6'])).to.deep.equal({type: 'malformed', text: '5, 6'});
	});
});
