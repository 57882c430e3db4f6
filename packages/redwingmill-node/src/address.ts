/** Parts of an `ip:port` address. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

export function splitAddress(address: string): Address {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}
