import {type CrashReport} from 'redwingmill-core';
import type * as wire from './generated/redwingmill/v1/datagram_pb.js';

/** Fields of a crash report that datagrams and messages on links have in common. */
type ReportFields = Pick<wire.Suspicion, 'fingerprint' | 'isCleared' | 'crashes' | 'ageMs'>;

/** Returns the fields of a report; those of a cleared request have no crashes. */
export function encodeCrashReport(report: CrashReport) {
	const {fingerprint, isCleared} = report;
	const ageMs = report.isCleared ? 0 : Math.round(report.ageMs);
	const counts = report.isCleared ? [] : report.crashes;
	const crashes = counts.map(({node, incarnation, count}) => ({
		node,
		incarnation: BigInt(incarnation),
		count,
	}));
	return {fingerprint, isCleared, crashes, ageMs};
}

export function decodeCrashReport({
	fingerprint,
	isCleared,
	crashes,
	ageMs,
}: ReportFields): CrashReport {
	if (isCleared) {
		return {isCleared, fingerprint};
	}

	return {
		isCleared,
		fingerprint,
		ageMs,
		crashes: crashes.map(({node, incarnation, count}) => ({
			node,
			incarnation: Number(incarnation),
			count,
		})),
	};
}
