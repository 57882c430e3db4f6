/** Connections that the soak leads through a link of its own, by what they serve. */
export const linkPurposes = ['caller', 'gate', 'datagrams', 'worker', 'store'] as const;
export type LinkPurpose = (typeof linkPurposes)[number];

/** What a link does to the bytes that pass it. */
export type LinkBehaviour =
	| {readonly type: 'pass'}
	| {readonly type: 'delay'; readonly delayMs: number}
	/** Resets the open connections and each new one. */
	| {readonly type: 'reset'}
	/** Holds back all bytes in both directions. */
	| {readonly type: 'silence'}
	/** Holds back what goes to the listener. */
	| {readonly type: 'deaf'}
	/** Holds back what the listener answers. */
	| {readonly type: 'mute'};

export type LinkBehaviourType = LinkBehaviour['type'];

/** Signals to a node's process; a process that ended is started again when the fault is over. */
export const processFaults = ['kill', 'stop', 'pause', 'reload'] as const;
export type ProcessFault = (typeof processFaults)[number];

/** What befalls a worker. */
export const workerFaults = ['crash', 'hang', 'slow', 'drop-answers', 'leave'] as const;
export type WorkerFault = (typeof workerFaults)[number];

/** A fault of one host's parts, or a change by the operators. */
export type SoakFault =
	| {
			readonly type: 'link';
			readonly host: number;
			readonly purpose: LinkPurpose;
			readonly behaviour: LinkBehaviour;
	  }
	| {readonly type: 'process'; readonly host: number; readonly fault: ProcessFault}
	| {readonly type: 'worker'; readonly host: number; readonly fault: WorkerFault}
	/** Every node's process is killed. */
	| {readonly type: 'power-loss'}
	| {readonly type: 'change'};

/** A fault with its time since the start of the soak. */
export type PlannedFault = {
	readonly atMs: number;
	readonly forMs: number;
	readonly fault: SoakFault;
};
