import {
	checkConfiguration,
	configurationChanges,
	type Configuration,
	type ConfigurationChange,
	type Finding,
} from 'redwingmill-text';

/** Result of a check of a configuration without faults. Contains no key. */
export type CheckReport = {
	readonly services: number;
	readonly routes: number;
	readonly workspaces: number;
	readonly findings: readonly Finding[];
	/** Differences to another version; absent when there is none to compare with. */
	readonly changes?: readonly ConfigurationChange[];
};

/** @param against - configuration in force; absent when it isn't known. */
export function createCheckReport(
	configuration: Configuration,
	against?: Configuration,
): CheckReport {
	const {services, routes, workspaces = []} = configuration;
	return {
		services: services.length,
		routes: routes.length,
		workspaces: workspaces.length,
		findings: checkConfiguration(configuration),
		...(against && {changes: configurationChanges(against, configuration)}),
	};
}

/** Formats a report as lines of text. */
export function formatCheckReport(file: string, report: CheckReport): string {
	const {services, routes, findings, changes} = report;
	const warnings = findings.length === 0 ? '' : `, ${findings.length} warnings`;
	return [
		`${file}: ${services} services, ${routes} routes, no faults${warnings}`,
		...findings.map(({type, subject, message}) => `warning: ${subject}: ${message} (${type})`),
		...(changes ?? []).map((change) => formatChange(change)),
	].join('\n');
}

function formatChange({kind, name, effect, fields, keys}: ConfigurationChange): string {
	// The numbers of keys say what changed; the field alone would say nothing.
	const shown = fields.filter((field) => field !== 'keys');
	const details = [
		...shown,
		...(keys && keys.added > 0 ? [`${keys.added} keys added`] : []),
		...(keys && keys.removed > 0 ? [`${keys.removed} keys removed`] : []),
	];
	return `${effect}: ${kind} ${name}${details.length === 0 ? '' : `: ${details.join(', ')}`}`;
}
