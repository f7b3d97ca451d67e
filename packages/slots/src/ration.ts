/**
 * The slots of one endpoint as hosts share them: each endpoint has a home among the live hosts of its data centre, which tells every
 * host that asks how many of the slots it may fill, for a short term.
 */

/** Requests of one host that are alike and wait for one endpoint. */
export type Want = {
	/** Class of urgency; 0 goes first. */
	urgency: number;
	/** Time until they should be done, in milliseconds; negative once late. */
	dueInMs: number;
	count: number;
};

/** What one host wants of an endpoint; a newer one takes the place of an older one. */
export type SlotDemand = {
	endpoint: string;
	/** Slots that the host fills at present. */
	filled: number;
	/** What waits there for it, most urgent first. */
	wants: readonly Want[];
	/** Requests of other hosts there, as the endpoint last told this one; undefined if it has not lately. */
	others?: number;
	/** Counts up with each demand of this host; an older one that comes late is ignored. */
	sequence: number;
};

/** What one host may fill of an endpoint; it ends by itself. */
export type SlotRation = {
	endpoint: string;
	/** Slots, those that the host fills already among them. */
	slots: number;
	/** Time for which it holds from its arrival on, in milliseconds. */
	termMs: number;
	/** The demand that it answers. */
	sequence: number;
};

/** How a host learns what it may fill. */
export type RationSource = {
	/** Slots of an endpoint that this host may fill; undefined if nobody tells, so that it decides by what it knows itself. */
	findLimit(endpoint: string): number | undefined;
	/** Tells what this host wants of an endpoint; nothing is sent if it changes nothing. */
	want(demand: Omit<SlotDemand, 'sequence'>): void;
	/** Calls back when a ration has changed; returns how to end that. */
	onChange(listener: () => void): () => void;
};
