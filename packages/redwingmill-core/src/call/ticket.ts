/**
 * Permission to run one call at most once, issued by one gate. That gate alone decides on the outcome
 * of the call; when the gate is gone, the outcome is unknown.
 */
export type Ticket = {
	/** Control address of the gate's node. */
	readonly node: string;
	readonly dataCentre: string;
	/** Incarnation of the gate's node. */
	readonly incarnation: number;
	/** Number of the ticket at its gate, from 1. */
	readonly sequence: number;
};

const prefix = 'rwm1';
const separator = '~';

/** Returns the text of a ticket for the `Idempotency-Key` header. */
export function formatTicket({node, dataCentre, incarnation, sequence}: Ticket): string {
	return [prefix, dataCentre, node, incarnation, sequence].join(separator);
}

/** Parses a ticket; returns undefined when the text isn't one. */
export function parseTicket(text: string): Ticket | undefined {
	if (!text.startsWith(prefix)) {
		return undefined;
	}

	const [head, dataCentre, node, incarnation, sequence, ...rest] = text.split(separator);
	const ticket = {
		node,
		dataCentre,
		incarnation: Number(incarnation),
		sequence: Number(sequence),
	};
	const isValid =
		head === prefix &&
		rest.length === 0 &&
		Boolean(node) &&
		Boolean(dataCentre) &&
		Number.isSafeInteger(ticket.incarnation) &&
		Number.isSafeInteger(ticket.sequence) &&
		ticket.sequence > 0;
	return isValid ? ticket : undefined;
}
