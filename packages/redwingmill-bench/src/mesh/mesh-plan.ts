/** Sizes and settings of a mesh on loopback. */
export type MeshPlan = {
	readonly dataCentres: readonly string[];
	/** Service of each node of a data centre; empty for a node without a worker. */
	readonly servicesPerDataCentre: readonly string[];
	/** Calls that a worker runs at a time. */
	readonly slots: number;
	/** Time that a worker takes for a call. */
	readonly serviceMs: number;
	/** Time from the start of a worker until it is ready. */
	readonly coldStartMs: number;
	/** Whether each worker runs in its own process, so that it can be killed separately. */
	readonly hasSeparateWorkerProcesses: boolean;
	readonly distributionIntervalMs: number;
	readonly sendsWholeTables: boolean;
	/** Overrides for the `calls` section of the nodes' settings. */
	readonly calls: Readonly<Record<string, unknown>>;
};

export const defaultMeshPlan: MeshPlan = {
	dataCentres: ['dc-a', 'dc-b', 'dc-c'],
	servicesPerDataCentre: ['diary', 'submission', 'coding'],
	slots: 6,
	serviceMs: 5,
	coldStartMs: 300,
	hasSeparateWorkerProcesses: true,
	distributionIntervalMs: 100,
	sendsWholeTables: false,
	calls: {},
};
