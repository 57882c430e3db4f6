import {
	parseTree,
	printParseErrorCode,
	type Node,
	type ParseError,
	type ParseOptions,
} from 'jsonc-parser';
import {priorities, type Configuration, type Route, type Service} from './configuration.js';
import {orderByDependency} from './dependency-order.js';
import {JsonReader} from './json-reader.js';
import {readWorkspaces} from './parse-workspaces.js';
import {type TextFault} from './text-fault.js';

/** Maximum size of a text. Two copies with their JSON overhead fit into one platform object. */
export const textLimitBytes = 384 * 1024;

const nestingLimit = 16;
const maximumServices = 2000;
const maximumRoutes = 5000;
const namePattern = /^[a-z][a-z\d\-]{0,62}$/v;
const pathPattern = /^\/[\w\-.\/~%]*$/v;
const methodPattern = /^[A-Z]{1,16}$/v;
const minimumDeadlineMs = 1;
const maximumDeadlineMs = 600_000;
const defaultDeadlineMs = 5000;
const defaultRetryShare = 0.1;
const defaultIdempotentMethods = ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'] as const;
const serviceFields = ['dependsOn'] as const;
const routeFields = [
	'path',
	'service',
	'methods',
	'idempotent',
	'priority',
	'deadlineMs',
	'retryShare',
	'public',
	'bulk',
] as const;
const textFields = ['services', 'routes', 'workspaces'] as const;

/** Result of parsing a text: the configuration it declares, or every fault found in it. */
export type ParsedText =
	| {readonly type: 'valid'; readonly configuration: Configuration}
	| {readonly type: 'invalid'; readonly faults: readonly TextFault[]};

/**
 * Parses and validates an operators' text, which configures the mesh's services and routes. The
 * syntax is JSON with comments and trailing commas.
 */
export function parseText(text: string): ParsedText {
	const bytes = new TextEncoder().encode(text).length;
	if (bytes > textLimitBytes) {
		return invalid([{type: 'oversize', bytes, limitBytes: textLimitBytes, line: 1, column: 1}]);
	}

	const reader = new JsonReader(text);
	const excessOffset = findExcessNesting(text, nestingLimit);
	if (excessOffset !== undefined) {
		reader.report(excessOffset, {type: 'too-deep', limit: nestingLimit});
		return invalid(reader.faults);
	}

	const root = parseSyntax(text, reader);
	if (root === undefined || reader.faults.length > 0) {
		return invalid(reader.faults);
	}

	const configuration = readConfiguration(root, reader);
	return reader.faults.length > 0 ? invalid(reader.faults) : {type: 'valid', configuration};
}

function invalid(faults: readonly TextFault[]): ParsedText {
	return {type: 'invalid', faults};
}

/**
 * Returns the offset of the first bracket that is nested deeper than `limit`. Checked before parsing,
 * so that a deeply nested text can't exhaust the stack of the recursive parser.
 */
function findExcessNesting(text: string, limit: number): number | undefined {
	let depth = 0;
	const token = /"(?:[^"\\\n]|\\.)*"|\/\/[^\n]*|\/\*[^]*?\*\/|[\[\]\{\}]/gv;
	for (const match of text.matchAll(token)) {
		if (match[0] === '{' || match[0] === '[') {
			depth += 1;
		} else if (match[0] === '}' || match[0] === ']') {
			depth -= 1;
		}

		if (depth > limit) {
			return match.index;
		}
	}

	return undefined;
}

function parseSyntax(text: string, reader: JsonReader): Node | undefined {
	const errors: ParseError[] = [];
	const options: ParseOptions = {allowTrailingComma: true};
	const root = parseTree(text, errors, options);
	for (const error of errors) {
		reader.report(error.offset, {type: 'syntax', detail: printParseErrorCode(error.error)});
	}

	if (root === undefined && errors.length === 0) {
		reader.report(0, {type: 'syntax', detail: 'ValueExpected'});
	}

	return root;
}

function readConfiguration(root: Node, reader: JsonReader): Configuration {
	const fields = reader.fields(root, '$', textFields, ['services', 'routes']);
	const services = readServices(fields.get('services')?.value, reader);
	const names = new Set(services.map((service) => service.name));
	const routes = readRoutes(fields.get('routes')?.value, names, reader);
	const workspaces = readWorkspaces(fields.get('workspaces')?.value, reader);
	return {
		services: sortServices(services, root, reader),
		routes: sortRoutes(routes),
		...(workspaces && {workspaces}),
	};
}

function readServices(node: Node | undefined, reader: JsonReader): Service[] {
	if (node === undefined) {
		return [];
	}

	const fields = reader.fields(node, '$.services');
	if (fields.size > maximumServices) {
		reader.report(node.offset, outOfRange('$.services', 0, maximumServices));
		return [];
	}

	const services: Service[] = [];
	for (const {name, key, value} of fields.values()) {
		const path = `$.services.${name}`;
		if (!namePattern.test(name)) {
			reader.report(key.offset, {type: 'invalid-name', path, name});
		}

		const dependsOn = reader.fields(value, path, serviceFields).get('dependsOn')?.value;
		checkDependencies(dependsOn, path, fields, reader);
		services.push({name, dependsOn: reader.strings(dependsOn, `${path}.dependsOn`)});
	}

	return services;
}

function checkDependencies(
	node: Node | undefined,
	path: string,
	services: ReadonlyMap<string, unknown>,
	reader: JsonReader,
): void {
	const seen = new Set<string>();
	for (const [index, item] of (node?.type === 'array' ? (node.children ?? []) : []).entries()) {
		const name = item.type === 'string' ? (item.value as string) : undefined;
		if (name === undefined) {
			continue;
		}

		if (seen.has(name)) {
			reader.report(item.offset, {type: 'duplicate', path: `${path}.dependsOn`, name});
		} else if (!services.has(name)) {
			const dependencyPath = `${path}.dependsOn[${index}]`;
			reader.report(item.offset, {type: 'unknown-service', path: dependencyPath, name});
		}

		seen.add(name);
	}
}

function sortServices(
	services: readonly Service[],
	root: Node,
	reader: JsonReader,
): readonly Service[] {
	const order = orderByDependency(services);
	if (order.type === 'ordered') {
		return order.services;
	}

	reader.report(root.offset, {type: 'cycle', services: order.cycle});
	return services;
}

function readRoutes(
	node: Node | undefined,
	services: ReadonlySet<string>,
	reader: JsonReader,
): Route[] {
	const items = reader.items(node, '$.routes');
	if (node && items.length > maximumRoutes) {
		reader.report(node.offset, outOfRange('$.routes', 0, maximumRoutes));
		return [];
	}

	const usedNames = new Set<string>();
	const routes: Route[] = [];
	for (const [index, item] of items.entries()) {
		const route = readRoute(item, `$.routes[${index}]`, services, reader);
		if (route) {
			for (const name of duplicateRouteNames(route, usedNames)) {
				reader.report(item.offset, {type: 'duplicate', path: `$.routes[${index}]`, name});
			}

			routes.push(route);
		}
	}

	return routes;
}

function readRoute(
	node: Node,
	path: string,
	services: ReadonlySet<string>,
	reader: JsonReader,
): Route | undefined {
	const fields = reader.fields(node, path, routeFields, ['path', 'service']);
	const fieldValue = (name: (typeof routeFields)[number]) => fields.get(name)?.value;
	const prefix = reader.string(fieldValue('path'), `${path}.path`);
	const service = reader.string(fieldValue('service'), `${path}.service`);
	const deadlineMs = reader.number(
		fieldValue('deadlineMs'),
		`${path}.deadlineMs`,
		minimumDeadlineMs,
		maximumDeadlineMs,
	);
	const retryShare = reader.number(fieldValue('retryShare'), `${path}.retryShare`, 0, 1);
	const priority = reader.choice(fieldValue('priority'), `${path}.priority`, priorities);
	const isPublic = reader.boolean(fieldValue('public'), `${path}.public`) ?? false;
	const isBulk = reader.boolean(fieldValue('bulk'), `${path}.bulk`) ?? false;
	const methods = readMethods(fieldValue('methods'), `${path}.methods`, reader);
	const idempotent = fieldValue('idempotent')
		? readMethods(fieldValue('idempotent'), `${path}.idempotent`, reader)
		: defaultIdempotentMethods;
	if (prefix === undefined || service === undefined) {
		return undefined;
	}

	if (!pathPattern.test(prefix)) {
		reader.report(fieldValue('path')?.offset ?? node.offset, {
			type: 'invalid-name',
			path: `${path}.path`,
			name: prefix,
		});
	}

	if (!services.has(service)) {
		reader.report(fieldValue('service')?.offset ?? node.offset, {
			type: 'unknown-service',
			path: `${path}.service`,
			name: service,
		});
	}

	return {
		path: prefix,
		service,
		methods,
		idempotent,
		rank: priorities.indexOf(priority ?? 'normal'),
		deadlineMs: deadlineMs ?? defaultDeadlineMs,
		retryShare: retryShare ?? defaultRetryShare,
		...(isPublic && {isPublic}),
		...(isBulk && {isBulk}),
	};
}

function readMethods(node: Node | undefined, path: string, reader: JsonReader): string[] {
	const methods = reader.strings(node, path);
	for (const name of methods.filter((method) => !methodPattern.test(method))) {
		reader.report(node?.offset ?? 0, {type: 'invalid-name', path, name});
	}

	return methods;
}

/** Returns the method and path pairs of `route` that an earlier route uses, and adds all to `usedNames`. */
function duplicateRouteNames(route: Route, usedNames: Set<string>): string[] {
	const duplicates: string[] = [];
	const methods = route.methods.length === 0 ? ['*'] : route.methods;
	for (const method of methods) {
		const name = `${method} ${route.path}`;
		if (usedNames.has(name)) {
			duplicates.push(name);
		}

		usedNames.add(name);
	}

	return duplicates;
}

function sortRoutes(routes: readonly Route[]): readonly Route[] {
	return [...routes].toSorted(
		(a, b) =>
			b.path.length - a.path.length ||
			Number(a.methods.length === 0) - Number(b.methods.length === 0),
	);
}

function outOfRange(path: string, minimum: number, maximum: number) {
	return {type: 'out-of-range', path, minimum, maximum} as const;
}
