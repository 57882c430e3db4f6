import {batchOwnerScheme} from './batch-owner-scheme.js';
import {countsScheme} from './counts-scheme.js';
import {leasedSharesScheme} from './leased-shares-scheme.js';
import {quotaConditions, type QuotaCondition} from './quota-conditions.js';
import {QuotaMesh} from './quota-mesh.js';
import {sumResults, type QuotaResult} from './quota-meter.js';
import {type QuotaScheme} from './quota-scheme.js';

export const quotaSchemes: readonly QuotaScheme[] = [
	leasedSharesScheme,
	batchOwnerScheme,
	countsScheme,
];

/** Result of a scheme under a condition, over all seeds. */
export type QuotaComparison = {
	readonly scheme: string;
	readonly condition: QuotaCondition;
	readonly total: QuotaResult;
	readonly workspaces: ReadonlyMap<string, QuotaResult>;
	/** Datagrams a second in the whole mesh. */
	readonly messagesPerSecond: number;
};

/** Simulates a condition under each scheme with the same seeds. */
export function compareQuotas(
	condition: QuotaCondition,
	seeds: readonly number[],
	schemes: readonly QuotaScheme[] = quotaSchemes,
): readonly QuotaComparison[] {
	const plan = quotaConditions[condition];
	return schemes.map((scheme) => {
		const runs = seeds.map((seed) => new QuotaMesh({...plan, seed}, scheme).run());
		const workspaces = new Map(
			plan.workspaces.map(({name}) => [
				name,
				sumResults(runs.flatMap((run) => run.workspaces.get(name) ?? [])),
			]),
		);
		let messages = 0;
		for (const run of runs) {
			messages += run.messages;
		}

		return {
			scheme: scheme.name,
			condition,
			total: sumResults([...workspaces.values()]),
			workspaces,
			messagesPerSecond: messages / seeds.length / (plan.durationMs / 1000),
		};
	});
}
