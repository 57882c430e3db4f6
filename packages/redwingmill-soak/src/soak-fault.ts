/**
 * Traffic that passes through a fault-injecting proxy: calls from callers, calls from other nodes to
 * the gate, datagrams between nodes, calls to the worker, and access to the configuration store.
 */
export const linkPurposes = ['caller', 'gate', 'datagrams', 'worker', 'store'] as const;
export type LinkPurpose = (typeof linkPurposes)[number];

/**
 * How a fault-injecting proxy treats the bytes that pass through it. Datagrams that would be held
 * back are dropped.
 */
export type LinkBehaviour =
	| {readonly type: 'pass'}
	| {readonly type: 'delay'; readonly delayMs: number}
	/** Resets all open connections and every new one. */
	| {readonly type: 'reset'}
	/** Holds back all bytes, in both directions. */
	| {readonly type: 'silence'}
	/** Holds back the bytes sent to the listener. */
	| {readonly type: 'deaf'}
	/** Holds back the bytes sent by the listener. */
	| {readonly type: 'mute'};

export type LinkBehaviourType = LinkBehaviour['type'];

/**
 * Faults of a node's process, each injected by a signal. A process that ended is restarted when the
 * fault is over.
 */
export const processFaults = ['kill', 'stop', 'pause', 'reload'] as const;
export type ProcessFault = (typeof processFaults)[number];

/**
 * Faults of a worker: it crashes, never responds, responds slowly, closes connections without a
 * response, or leaves in an orderly way. A worker that crashed or left is replaced afterwards.
 */
export const workerFaults = ['crash', 'hang', 'slow', 'drop-answers', 'leave'] as const;
export type WorkerFault = (typeof workerFaults)[number] | typeof endlessAnswers;

/** Fault of a worker whose responses never end, until the connection is closed; drawn apart from the others. */
export const endlessAnswers = 'endless-answers';

/** What a worker says of itself in its responses and nowhere else. */
export type SoakNotice =
	{readonly type: 'limit'; readonly perSecond: number} | {readonly type: 'leaving'};

/** A fault of a host's links, process or worker, or a change of the operators' configuration. */
export type SoakFault =
	| {
			readonly type: 'link';
			readonly host: number;
			readonly purpose: LinkPurpose;
			readonly behaviour: LinkBehaviour;
	  }
	| {readonly type: 'process'; readonly host: number; readonly fault: ProcessFault}
	| {readonly type: 'worker'; readonly host: number; readonly fault: WorkerFault}
	/** A worker says something of itself in its responses; one that says that it leaves is replaced. */
	| {readonly type: 'notice'; readonly host: number; readonly notice: SoakNotice}
	/** Kills the process of every node. */
	| {readonly type: 'power-loss'}
	/** The store is away, and returns from the copy that it had {@link storeCopyAgeMs} before. */
	| {readonly type: 'store-return'}
	/** A caller of a host sends a request whose body never ends, until the connection is closed. */
	| {readonly type: 'endless-request'; readonly host: number}
	/** All connections that are open between nodes, to workers and to the store go silent for good. */
	| {readonly type: 'silent-connections'}
	| {readonly type: 'change'};

/** Age of the copy from which the store returns, in milliseconds. */
export const storeCopyAgeMs = 2000;

/** A fault with its duration and its start, in milliseconds since the start of the fault phase. */
export type PlannedFault = {
	readonly atMs: number;
	readonly forMs: number;
	readonly fault: SoakFault;
};
