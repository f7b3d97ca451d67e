/**
 * Sharing of one endpoint's slots among hosts: each endpoint has a coordinator among the live hosts of its data centre, which grants each
 * requesting host a number of slots for a short term.
 */

/** Requests of one host that wait for one endpoint with the same urgency and due time. */
export type QueuedWork = {
	/** Urgency class; 0 is served first. */
	urgency: number;
	/** Time until they should be finished, in milliseconds; negative once late. */
	dueInMs: number;
	count: number;
};

/** Demand of one host for an endpoint; a newer demand replaces an older one. */
export type SlotDemand = {
	endpoint: string;
	/** Slots that the host currently fills. */
	filled: number;
	/** Work that waits at the host for this endpoint, most urgent first. */
	wants: readonly QueuedWork[];
	/** Requests of other hosts at the endpoint, as it last reported to this host; undefined without a recent report. */
	others?: number;
	/** Increases with each demand of this host; an older demand that arrives late is ignored. */
	sequence: number;
};

/** Slots of an endpoint that one host may fill; expires by itself. */
export type SlotAllocation = {
	endpoint: string;
	/** Number of slots, including those that the host fills already. */
	slots: number;
	/** Validity from its arrival on, in milliseconds. */
	termMs: number;
	/** Sequence number of the demand that it answers. */
	sequence: number;
};

/** Slot limits of a host as others read them. */
export type AllocationSource = {
	/** Returns how many slots of an endpoint this host may fill; undefined without a limit, so that the host decides by its local knowledge. */
	findLimit(endpoint: string): number | undefined;
	/** Updates this host's demand for an endpoint; nothing is sent while the demand is unchanged. */
	updateDemand(demand: Omit<SlotDemand, 'sequence'>): void;
	/** Calls the listener when an allocation has changed; returns a function that unsubscribes it. */
	onChange(listener: () => void): () => void;
};
