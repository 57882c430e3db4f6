import {QuotaKeeper, type QuotaDatagram} from 'redwingmill-core';
import {type QuotaScheme} from './quota-scheme.js';

/** The real code: servers count calls, and correct what nodes may admit. */
export const countsScheme: QuotaScheme = {
	name: 'counts',
	create(options) {
		const keeper = new QuotaKeeper(options);
		return {
			get isReportUrgent() {
				return keeper.isReportUrgent;
			},
			update(index, view, now) {
				keeper.update(index, view, now);
			},
			admit: (workspace, now) => keeper.admit(workspace, now).type === 'admitted',
			report: (now) => keeper.report(now),
			receive: (from, datagram, now) => keeper.receive(from, datagram as QuotaDatagram, now),
			tick: (now) => keeper.tick(now),
		};
	},
};
