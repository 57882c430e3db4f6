import {expect} from 'chai';
import {RankQueue} from '../../index.js';

const bound = 8;

function queueOf(entries: ReadonlyArray<readonly [string, number, number]>): RankQueue<string> {
	const queue = new RankQueue<string>();
	for (const [item, rank, dueAt] of entries) {
		queue.add(item, rank, dueAt);
	}

	return queue;
}

describe('RankQueue', () => {
	it('orders items by rank and by due time within a rank', () => {
		const queue = queueOf([
			['page', 2, 200],
			['submission', 1, 250],
			['check', 1, 60],
		]);
		expect([queue.pick(), queue.pick(), queue.pick()]).to.deep.equal([
			'check',
			'submission',
			'page',
		]);
	});

	it('keeps the order of insertion among items due at the same time', () => {
		const queue = queueOf([
			['first', 1, 100],
			['second', 1, 100],
		]);
		expect(queue.pick()).to.equal('first');
	});

	it('yields only the items that precede a new one', () => {
		const queue = queueOf([
			['urgent', 0, 500],
			['earlier', 1, 50],
			['later', 1, 500],
			['bulk', 2, 10],
		]);
		expect([...queue.ahead(1, 100)]).to.deep.equal(['urgent', 'earlier']);
	});

	it('guarantees lower ranks a share of the picks', () => {
		const queue = queueOf([['bulk', 2, 0]]);
		let picks = 0;
		let picked: string | undefined;
		while (picked !== 'bulk' && picks < 100) {
			queue.add('urgent', 0, 0);
			picked = queue.pick();
			picks += 1;
		}

		expect(picks).to.be.at.most(16);
	});

	it('reserves capacity for lower ranks and displaces items beyond that reserve', () => {
		const queue = queueOf(Array.from({length: bound}, () => ['urgent', 0, 0] as const));
		expect(queue.hasRoom(1, bound)).to.equal(true);
		expect(queue.hasRoom(0, bound)).to.equal(false);
		const full = queueOf(
			Array.from({length: bound}, (_, index) => [`bulk ${index}`, 2, index] as const),
		);
		expect(full.displace(0, bound)).to.equal(`bulk ${bound - 1}`);
		expect(full.size).to.equal(bound - 1);
	});
});
