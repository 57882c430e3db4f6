import {type CrashCounts, type CrashReport} from 'redwingmill-core';
import type * as wire from './generated/redwingmill/v1/datagram_pb.js';

/** Fields of a crash report that datagrams and messages on links have in common. */
type ReportFields = Pick<
	wire.Suspicion,
	'fingerprint' | 'isCleared' | 'crashes' | 'ageMs' | 'disproved'
>;

/** Returns the fields of a report; those of a cleared request have no crashes. */
export function encodeCrashReport(report: CrashReport) {
	const {fingerprint, isCleared} = report;
	if (report.isCleared) {
		return {fingerprint, isCleared, crashes: [], ageMs: 0, disproved: []};
	}

	return {
		fingerprint,
		isCleared,
		crashes: encodeCounts(report.crashes),
		ageMs: Math.round(report.ageMs),
		disproved: encodeCounts(report.disproved ?? []),
	};
}

export function decodeCrashReport({
	fingerprint,
	isCleared,
	crashes,
	ageMs,
	disproved,
}: ReportFields): CrashReport {
	if (isCleared) {
		return {isCleared, fingerprint};
	}

	return {
		isCleared,
		fingerprint,
		ageMs,
		crashes: decodeCounts(crashes),
		...(disproved.length > 0 && {disproved: decodeCounts(disproved)}),
	};
}

function encodeCounts(counts: CrashCounts) {
	return counts.map(({node, incarnation, count}) => ({
		node,
		incarnation: BigInt(incarnation),
		count,
	}));
}

function decodeCounts(counts: ReportFields['crashes']): CrashCounts {
	return counts.map(({node, incarnation, count}) => ({
		node,
		incarnation: Number(incarnation),
		count,
	}));
}
