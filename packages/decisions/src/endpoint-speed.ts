/**
 * How fast an endpoint works, kept apart by how long each part lasts.
 */

/** What is known of an endpoint's speed. */
export type EndpointSpeed = {
	/** Time for a unit of work when nothing is wrong with it, in milliseconds: lasts as long as its machine; undefined until known. */
	classMs: number | undefined;
	/** Factor by which it is slower over some seconds; 1 as usual. */
	spell: number;
	/** Factor by which it is slower at this moment; 1 as usual, also once what it told is too old. */
	transientFactor: number;
};
