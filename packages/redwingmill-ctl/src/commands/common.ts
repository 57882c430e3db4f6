import process from 'node:process';
import {flag, option, optional, positional, string} from 'cmd-ts';
import {PlatformClient} from 'redwingmill-platform';
import {CommandError} from '../errors.js';

export const jsonFlag = flag({long: 'json', description: 'Print one JSON value.'});

export const fileArgument = positional({displayName: 'FILE', description: "Operators' text."});

export const platformOption = option({
	type: optional(string),
	long: 'platform',
	description: 'Address of the object API, ip:port; REDWINGMILL_PLATFORM by default.',
});

export const nodeOption = option({
	type: optional(string),
	long: 'node',
	description: "Operators' port of a node, ip:port; REDWINGMILL_NODE by default.",
});

/** Address of a node's operators' port. Throws {@link CommandError} when none is given. */
export function nodeAddress(given: string | undefined): string {
	return requireAddress(given ?? process.env.REDWINGMILL_NODE, '--node', 'REDWINGMILL_NODE');
}

/** Runs `use` with a client of the platform and closes it. */
export async function withPlatform<Result>(
	given: string | undefined,
	use: (client: PlatformClient) => Promise<Result>,
): Promise<Result> {
	const address = given ?? process.env.REDWINGMILL_PLATFORM;
	const client = new PlatformClient(requireAddress(address, '--platform', 'REDWINGMILL_PLATFORM'));
	try {
		return await use(client);
	} finally {
		await client.close();
	}
}

export function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

export function printJson(value: unknown): void {
	print(JSON.stringify(value, undefined, 2));
}

function requireAddress(value: string | undefined, name: string, variable: string): string {
	if (value === undefined || value === '') {
		throw new CommandError(`give ${name} ip:port or set ${variable}`);
	}

	return value;
}
