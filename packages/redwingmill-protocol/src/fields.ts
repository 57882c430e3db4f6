import {ProtocolError} from './errors.js';

/**
 * Decodes a number of a protobuf enum into its value in `values`, whose first item has number 1.
 * Throws {@link ProtocolError} on 0, which stands for "unspecified", and on unknown numbers.
 */
export function decodeEnum<Value extends string>(values: readonly Value[], number: number): Value {
	return requireField(values[number - 1]);
}

/** Returns the value of a field. Throws {@link ProtocolError} if it is missing. */
export function requireField<Value>(value: Value | undefined): Value {
	if (value === undefined) {
		throw new ProtocolError('a required field is missing or has an unknown enum value');
	}

	return value;
}
