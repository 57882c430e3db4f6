/** Returns the demo's configuration text; versions differ in the deadline of the diary route. */
export function demoText(deadlineMs: number): string {
	return `// Services of the demo and what each depends on.
{
	"services": {
		"coding": {},
		"diary": {"dependsOn": ["coding"]},
		"submission": {"dependsOn": ["diary"]},
	},
	"routes": [
		{"path": "/diary", "service": "diary", "deadlineMs": ${deadlineMs}},
		{"path": "/submission", "service": "submission", "methods": ["POST"], "deadlineMs": 5000},
		{"path": "/coding/urgent", "service": "coding", "priority": "urgent", "deadlineMs": 1000},
		{"path": "/coding", "service": "coding", "deadlineMs": 3000},
	],
}
`;
}
