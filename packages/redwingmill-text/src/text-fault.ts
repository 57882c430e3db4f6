/** Position in a text; line and column are counted from 1. */
export type Position = {
	readonly line: number;
	readonly column: number;
};

/** Validation error in an operators' text, with its position. */
export type TextFault = Position &
	(
		| {readonly type: 'syntax'; readonly detail: string}
		| {readonly type: 'oversize'; readonly bytes: number; readonly limitBytes: number}
		| {readonly type: 'too-deep'; readonly limit: number}
		| {readonly type: 'wrong-type'; readonly path: string; readonly expected: string}
		| {readonly type: 'unknown-field'; readonly path: string; readonly known: readonly string[]}
		| {readonly type: 'missing-field'; readonly path: string; readonly field: string}
		| {readonly type: 'duplicate'; readonly path: string; readonly name: string}
		| {readonly type: 'invalid-name'; readonly path: string; readonly name: string}
		| {readonly type: 'unknown-service'; readonly path: string; readonly name: string}
		/** A key that another entry has too; the key itself isn't shown. */
		| {readonly type: 'repeated-key'; readonly path: string; readonly workspace: string}
		| {readonly type: 'cycle'; readonly services: readonly string[]}
		| {
				readonly type: 'out-of-range';
				readonly path: string;
				readonly minimum: number;
				readonly maximum: number;
		  }
	);

/** Returns the message for operators, without the position. */
export function describeFault(fault: TextFault): string {
	switch (fault.type) {
		case 'syntax': {
			return `syntax error: ${fault.detail}`;
		}

		case 'oversize': {
			return `the text has ${fault.bytes} bytes; the limit is ${fault.limitBytes}`;
		}

		case 'too-deep': {
			return `values are nested deeper than ${fault.limit} levels`;
		}

		case 'wrong-type': {
			return `${fault.path}: expected ${fault.expected}`;
		}

		case 'unknown-field': {
			return `${fault.path}: unknown field; known fields: ${fault.known.join(', ')}`;
		}

		case 'missing-field': {
			return `${fault.path}: missing field "${fault.field}"`;
		}

		case 'duplicate': {
			return `${fault.path}: "${fault.name}" is given twice`;
		}

		case 'invalid-name': {
			return `${fault.path}: "${fault.name}" isn't a valid name`;
		}

		case 'unknown-service': {
			return `${fault.path}: no service is named "${fault.name}"`;
		}

		case 'repeated-key': {
			return `${fault.path}: key of workspace "${fault.workspace}" is used again`;
		}

		case 'cycle': {
			return `services depend on each other in a cycle: ${fault.services.join(' -> ')}`;
		}

		case 'out-of-range': {
			return `${fault.path}: expected a number from ${fault.minimum} to ${fault.maximum}`;
		}
	}
}

/** Returns `line:column: message`, a format that editors recognise as a link. */
export function formatFault(fault: TextFault): string {
	return `${fault.line}:${fault.column}: ${describeFault(fault)}`;
}
