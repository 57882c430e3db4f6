import process from 'node:process';
import {flag, option, optional, positional, string} from 'cmd-ts';
import {PlatformClient} from 'redwingmill-platform';
import {CommandError} from '../errors.js';

export const jsonFlag = flag({long: 'json', description: 'Print the result as JSON.'});

export const fileArgument = positional({
	displayName: 'FILE',
	description: "File with the operators' text (configuration).",
});

export const platformOption = option({
	type: optional(string),
	long: 'platform',
	description: "Address of the platform's object API as ip:port; defaults to REDWINGMILL_PLATFORM.",
});

export const nodeOption = option({
	type: optional(string),
	long: 'node',
	description: "Operators' port of a node as ip:port; defaults to REDWINGMILL_NODE.",
});

/** Returns the address of a node's operators' port. Throws {@link CommandError} if none is given. */
export function nodeAddress(given: string | undefined): string {
	return requireAddress(given ?? process.env.REDWINGMILL_NODE, '--node', 'REDWINGMILL_NODE');
}

/**
 * Calls `use` with a platform client and closes the client afterwards. Throws {@link CommandError}
 * if no address is given.
 */
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
		throw new CommandError(`no address given: pass ${name} ip:port or set ${variable}`);
	}

	return value;
}
