import {type Quota} from 'redwingmill-text';

/** How exactly quotas have to be kept. */
export type QuotaBounds = {
	readonly windowMs: number;
	/** Calls tolerated over a quota, as a share of it. */
	readonly overShare: number;
	/** Calls tolerated besides, in a window. */
	readonly slack: number;
};

/**
 * Share of the tolerated excess that is added to the bucket, without which a burst of 0 refuses calls
 * that come unevenly.
 */
const burstShare = 0.38;

/** Calls that the bounds tolerate over a quota in a window. */
export function toleratedExcess(
	{perSecond, burst}: Quota,
	{windowMs, overShare, slack}: QuotaBounds,
): number {
	return ((perSecond * windowMs) / 1000 + burst) * overShare + slack;
}

/** Calls that the bucket of a quota holds when it is full. */
export function capacityOf(quota: Quota, bounds: QuotaBounds): number {
	const added = burstShare * toleratedExcess(quota, bounds);
	return quota.burst + Math.max(added / 2, added - quota.burst / 4);
}

/** Largest number of calls that may run in a window. */
export function windowBound(quota: Quota, bounds: QuotaBounds): number {
	return (quota.perSecond * bounds.windowMs) / 1000 + quota.burst + toleratedExcess(quota, bounds);
}

/** Interval of regular reports. */
const reportIntervalSeconds = 0.1;
/** Demand that a hot workspace may rise to at once, as a multiple of the quota's rate. */
export const largestSuddenRate = 5;
/** Share of the tolerated excess that calls between two regular reports may use. */
const unreportedShare = 0.4;

/**
 * Whether every call has to be reported promptly: between two regular reports the demand could rise by
 * more than the bounds tolerate. So it is with high rates and small bursts.
 */
export function needsPromptReports(quota: Quota, bounds: QuotaBounds): boolean {
	const unreported = largestSuddenRate * quota.perSecond * reportIntervalSeconds;
	return unreported > unreportedShare * toleratedExcess(quota, bounds) + quota.burst / 2;
}
