/** Services of the workers in measurements. */
export const benchServices = ['coding', 'diary', 'submission'] as const;

/** Returns a configuration text with `routes` routes; `deadlineMs` makes versions differ. */
export function benchText(routes: number, deadlineMs: number): string {
	const lines = [
		`{"path": "/chain", "service": "coding", "deadlineMs": 20000, "retryShare": 0.1}`,
		`{"path": "/coding", "service": "coding", "deadlineMs": ${deadlineMs}, "retryShare": 0.1}`,
		`{"path": "/coding/urgent", "service": "coding", "priority": "urgent", "deadlineMs": ${deadlineMs}}`,
		`{"path": "/coding/bulk", "service": "coding", "priority": "bulk", "deadlineMs": ${deadlineMs}}`,
		`{"path": "/submission", "service": "submission", "methods": ["POST"]}`,
	];
	for (let index = lines.length; index < routes; index++) {
		lines.push(`{"path": "/diary/${index}", "service": "diary", "deadlineMs": ${deadlineMs}}`);
	}

	return `{
	"services": {"coding": {}, "diary": {"dependsOn": ["coding"]}, "submission": {"dependsOn": ["diary"]}},
	"routes": [
		${lines.join(',\n\t\t')},
	],
}
`;
}
