/** Faults that the stand-in platform server can inject. */
export type PlatformFault = {
	/** Whether every API connection is closed without a response. */
	readonly isDown: boolean;
	/** Delay before each request is handled, in milliseconds. */
	readonly delayMs: number;
	/** Number of upcoming writes that take effect but whose response is lost. */
	readonly lostAnswers: number;
	/** Whether lists return the state as of the moment at which this was switched on. */
	readonly isListStale: boolean;
	/** Requests accepted per second; the server answers further ones with status 429. */
	readonly callsPerSecond: number;
};

export const noFault: PlatformFault = {
	isDown: false,
	delayMs: 0,
	lostAnswers: 0,
	isListStale: false,
	callsPerSecond: 2000,
};
