import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {type Quota, type Workspace} from 'redwingmill-text';
import {QuotaIndex, QuotaLedger, type QuotaGrant} from '../../index.js';

const serverIncarnation = 7;
const bounds = {windowMs: 5000, overShare: 0.1, slack: 20};

describe('QuotaLedger', () => {
	it('admits calls of workspaces without a quota, and reports none of them', () => {
		const ledger = createLedger({perSecond: 1, burst: 0});
		const free = workspaceOf('free', undefined);
		expect(admittedOf(ledger, free, 100)).to.equal(100);
		expect(ledger.report(1)).to.deep.equal([]);
	});

	it('admits one call before the first grant, and refuses the next with a wait derived from the rate', () => {
		const quota = {perSecond: 10, burst: 100};
		const ledger = createLedger(quota, 10);
		const workspace = workspaceOf('a', quota);
		expect(ledger.admit(workspace, 0).type).to.equal('admitted');
		// Half of an equal share of 10 nodes is 0.5 calls a second.
		expect(ledger.admit(workspace, 0)).to.deep.equal({type: 'refused', retryAfterMs: 2000});
	});

	it('uses a credit and its rate up, and no more, while no reply arrives', () => {
		const quota = {perSecond: 10, burst: 100};
		const ledger = createLedger(quota);
		const workspace = workspaceOf('a', quota);
		ledger.applyReply(replyOf(1, grantOf({credit: 20, perSecond: 2})), 0);
		expect(admittedOf(ledger, workspace, 50, 0)).to.equal(20);
		let admitted = 0;
		for (let now = 0; now <= 5000; now += 10) {
			admitted += admittedOf(ledger, workspace, 1, now);
		}

		expect(admitted).to.equal(10);
	});

	it('uses a quarter of its share after 10 s without a reply, as others then use the rest', () => {
		const quota = {perSecond: 10, burst: 100};
		const ledger = createLedger(quota);
		const workspace = workspaceOf('a', quota);
		ledger.applyReply(replyOf(1, grantOf({credit: 1, perSecond: 8})), 0);
		let admitted = 0;
		for (let now = 0; now <= 20_000; now += 10) {
			const count = admittedOf(ledger, workspace, 1, now);
			admitted += now > 11_000 ? count : 0;
			ledger.report(now);
		}

		expect(admitted).to.be.within(17, 19);
	});

	it('deducts calls from a credit that were admitted after the report which it answers', () => {
		const quota = {perSecond: 10, burst: 100};
		const ledger = createLedger(quota);
		const workspace = workspaceOf('a', quota);
		ledger.applyReply(replyOf(1, grantOf({credit: 10})), 0);
		admittedOf(ledger, workspace, 4);
		const epoch = epochOf(ledger);
		admittedOf(ledger, workspace, 5);
		ledger.applyReply(replyOf(2, grantOf({credit: 10, admitted: 4, epoch})), 1);
		expect(admittedOf(ledger, workspace, 50, 1)).to.equal(5);
	});

	it('ignores replies that arrive twice or after a newer one', () => {
		const quota = {perSecond: 10, burst: 100};
		const ledger = createLedger(quota);
		const workspace = workspaceOf('a', quota);
		ledger.applyReply(replyOf(2, grantOf({credit: 3})), 0);
		admittedOf(ledger, workspace, 3);
		ledger.applyReply(replyOf(2, grantOf({credit: 3})), 0);
		ledger.applyReply(replyOf(1, grantOf({credit: 30})), 0);
		expect(admittedOf(ledger, workspace, 50)).to.equal(0);
	});

	it('gives the credit of a refunded call back, in its counts too', () => {
		const quota = {perSecond: 10, burst: 100};
		const ledger = createLedger(quota);
		const workspace = workspaceOf('a', quota);
		admittedOf(ledger, workspace, 1);
		ledger.refund(workspace);
		expect(ledger.report(1)[0].uses[0]).to.include({asked: 1, admitted: 0});
		expect(admittedOf(ledger, workspace, 50)).to.equal(1);
	});

	it('reports a change twice, so that the loss of one datagram hides no calls', () => {
		const quota = {perSecond: 10, burst: 100};
		const ledger = createLedger(quota);
		admittedOf(ledger, workspaceOf('a', quota), 1);
		const counts = [1, 2, 3].map((now) => ledger.report(now).flatMap(({uses}) => uses).length);
		expect(counts).to.deep.equal([1, 1, 0]);
	});

	it('repeats what it reported when replies come again after a cut', () => {
		const quota = {perSecond: 10, burst: 100};
		const ledger = createLedger(quota);
		admittedOf(ledger, workspaceOf('a', quota), 1);
		for (let now = 0; now < 5000; now += 100) {
			ledger.report(now);
		}

		ledger.applyReply({incarnation: serverIncarnation, sequence: 1, grants: []}, 5000);
		expect(ledger.report(5000)[0].uses[0]).to.include({admitted: 1});
	});

	for (const isAnswered of [true, false]) {
		const reported = isAnswered ? 'without' : 'with';
		const answered = isAnswered ? 'answered' : 'unanswered';
		it(`counts anew for another server, ${reported} the calls of an ${answered} report`, () => {
			const quota = {perSecond: 10, burst: 100};
			const ledger = createLedger(quota);
			const workspace = workspaceOf('a', quota);
			ledger.applyReply(replyOf(1, grantOf({credit: 10})), 0);
			admittedOf(ledger, workspace, 4);
			ledger.report(1);
			if (isAnswered) {
				ledger.applyReply({incarnation: serverIncarnation, sequence: 2, grants: []}, 1);
			}

			admittedOf(ledger, workspace, 2);
			ledger.onServerChange(2);
			const [report] = ledger.report(3);
			expect(report.serverIncarnation).to.equal(0);
			expect(report.uses[0]).to.include({admitted: isAnswered ? 2 : 6});
		});
	}

	it('reduces what was granted when the quota is lowered, before its server knows', () => {
		const quota = {perSecond: 100, burst: 100};
		const ledger = createLedger(quota);
		ledger.applyReply(replyOf(1, grantOf({credit: 50, perSecond: 20})), 0);
		const lowered = workspaceOf('a', {perSecond: 10, burst: 10});
		ledger.setLimits(new QuotaIndex([lowered]), 1);
		expect(admittedOf(ledger, lowered, 100)).to.equal(5);
	});

	it('splits the counts of many workspaces over reports', () => {
		const workspaces = Array.from({length: 130}, (_, index) =>
			workspaceOf(`w${index}`, {perSecond: 1, burst: 0}),
		);
		const ledger = new QuotaLedger({incarnation: 1, bounds, random: new Random(1)});
		ledger.setLimits(new QuotaIndex(workspaces), 1);
		for (const workspace of workspaces) {
			ledger.admit(workspace, 0);
		}

		expect(ledger.report(0).map(({uses}) => uses.length)).to.deep.equal([56, 56, 18]);
	});
});

function createLedger(quota: Quota, nodeCount = 1): QuotaLedger {
	const ledger = new QuotaLedger({incarnation: 1, bounds, random: new Random(1)});
	ledger.setLimits(new QuotaIndex([workspaceOf('a', quota)]), nodeCount);
	return ledger;
}

function workspaceOf(name: string, quota: Quota | undefined): Workspace {
	return {name, keys: [], rank: 0, quota};
}

function grantOf(grant: Partial<QuotaGrant>): QuotaGrant {
	const {id} = new QuotaIndex([workspaceOf('a', {perSecond: 1, burst: 0})]).byName.get('a')!;
	return {id, isOpen: true, epoch: 0, admitted: 0, credit: 0, perSecond: 0, ...grant};
}

function replyOf(sequence: number, grant: QuotaGrant) {
	return {incarnation: serverIncarnation, sequence, grants: [grant]};
}

function admittedOf(ledger: QuotaLedger, workspace: Workspace, calls: number, now = 0): number {
	let admitted = 0;
	for (let call = 0; call < calls; call++) {
		admitted += ledger.admit(workspace, now).type === 'admitted' ? 1 : 0;
	}

	return admitted;
}

function epochOf(ledger: QuotaLedger): number {
	return ledger.report(0)[0].uses[0].epoch;
}
