import {type Node} from 'jsonc-parser';
import {type Position, type TextFault} from './text-fault.js';

type FaultDetail = TextFault extends infer Each
	? Each extends TextFault
		? Omit<Each, keyof Position>
		: never
	: never;

/** Field of a JSON object with the syntax nodes of its key and of its value. */
export type Field = {
	readonly name: string;
	readonly key: Node;
	readonly value: Node;
};

/** Reads typed values from a JSON syntax tree and collects every fault with its position. */
export class JsonReader {
	readonly #lineStarts: readonly number[];
	readonly #faults: TextFault[] = [];

	constructor(text: string) {
		this.#lineStarts = [0, ...[...text.matchAll(/\n/gv)].map((match) => match.index + 1)];
	}

	get faults(): readonly TextFault[] {
		return this.#faults;
	}

	/** Records a fault at a character offset of the text. */
	report(offset: number, detail: FaultDetail): void {
		this.#faults.push({...detail, ...this.#position(offset)});
	}

	/**
	 * Returns the fields of an object by name. Reports a node that isn't an object, and duplicate,
	 * unknown and missing fields. Every name is allowed if `known` is absent.
	 */
	fields(
		node: Node,
		path: string,
		known?: readonly string[],
		required: readonly string[] = [],
	): Map<string, Field> {
		const fields = new Map<string, Field>();
		if (node.type !== 'object') {
			this.report(node.offset, {type: 'wrong-type', path, expected: 'an object'});
			return fields;
		}

		for (const property of node.children ?? []) {
			this.#addField(fields, property, path, known);
		}

		for (const field of required.filter((name) => !fields.has(name))) {
			this.report(node.offset, {type: 'missing-field', path, field});
		}

		return fields;
	}

	/** Returns the elements of an array; empty if the node is absent or faulty. */
	items(node: Node | undefined, path: string): readonly Node[] {
		if (node === undefined) {
			return [];
		}

		if (node.type !== 'array') {
			this.report(node.offset, {type: 'wrong-type', path, expected: 'an array'});
			return [];
		}

		return node.children ?? [];
	}

	/** Returns a string, or undefined if the node is absent or faulty. */
	string(node: Node | undefined, path: string): string | undefined {
		if (node === undefined) {
			return undefined;
		}

		if (node.type !== 'string') {
			this.report(node.offset, {type: 'wrong-type', path, expected: 'a string'});
			return undefined;
		}

		return node.value as string;
	}

	/** Returns the strings of an array, without the faulty elements. */
	strings(node: Node | undefined, path: string): string[] {
		return this.items(node, path)
			.map((item, index) => this.string(item, `${path}[${index}]`))
			.filter((value) => value !== undefined);
	}

	/** Returns one of `choices`, or undefined if the node is absent or faulty. */
	choice<Choice extends string>(
		node: Node | undefined,
		path: string,
		choices: readonly Choice[],
	): Choice | undefined {
		const value = this.string(node, path);
		const found = choices.find((choice) => choice === value);
		if (node && value !== undefined && found === undefined) {
			this.report(node.offset, {
				type: 'wrong-type',
				path,
				expected: `one of ${choices.join(', ')}`,
			});
		}

		return found;
	}

	/** Returns a truth value, or undefined if the node is absent or faulty. */
	boolean(node: Node | undefined, path: string): boolean | undefined {
		if (node === undefined) {
			return undefined;
		}

		if (node.type !== 'boolean') {
			this.report(node.offset, {type: 'wrong-type', path, expected: 'true or false'});
			return undefined;
		}

		return node.value as boolean;
	}

	/** Returns a number within the bounds, or undefined if the node is absent or faulty. */
	number(
		node: Node | undefined,
		path: string,
		minimum: number,
		maximum: number,
	): number | undefined {
		if (node === undefined) {
			return undefined;
		}

		if (node.type !== 'number') {
			this.report(node.offset, {type: 'wrong-type', path, expected: 'a number'});
			return undefined;
		}

		const value = node.value as number;
		if (!Number.isFinite(value) || value < minimum || value > maximum) {
			this.report(node.offset, {type: 'out-of-range', path, minimum, maximum});
			return undefined;
		}

		return value;
	}

	#addField(
		fields: Map<string, Field>,
		property: Node,
		path: string,
		known: readonly string[] | undefined,
	): void {
		const [key, value] = property.children ?? [];
		if (key === undefined || value === undefined) {
			return;
		}

		const name = key.value as string;
		if (fields.has(name)) {
			this.report(key.offset, {type: 'duplicate', path, name});
			return;
		}

		if (known && !known.includes(name)) {
			this.report(key.offset, {type: 'unknown-field', path: `${path}.${name}`, known});
			return;
		}

		fields.set(name, {name, key, value});
	}

	#position(offset: number): Position {
		const line = this.#lineStarts.findLastIndex((start) => start <= offset);
		return {line: line + 1, column: offset - this.#lineStarts[line] + 1};
	}
}
