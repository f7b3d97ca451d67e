/**
 * Speed of an endpoint, separated by how long each component lasts.
 */

/** Known speed of an endpoint. */
export type EndpointSpeed = {
	/** Persistent time per unit of work without disturbances, in milliseconds: a property of its machine; undefined until known. */
	persistentMs: number | undefined;
	/** Episodic slowdown factor, over some seconds; normally 1. */
	episodicFactor: number;
	/** Transient slowdown factor at present; normally 1, also once the endpoint's report is too old. */
	transientFactor: number;
};
