/**
 * Conversion of endpoint states to the form that operators read.
 */
import type {EndpointState} from '@wasabiusher/direct';
import type {EndpointView} from '@wasabiusher/shared';

/** Converts this host's state of an endpoint to the view for operators. */
export function toEndpointView(state: EndpointState): EndpointView {
	const {
		endpoint: {id, service, dataCentre, slots, isDraining}, open, others, isAvailable, paceMs, bestMs, versions,
	} = state;
	return {
		id, service, dataCentre, slots, open, others, isDraining, isAvailable, paceMs, bestPaceMs: bestMs, versions: Object.fromEntries(versions),
	};
}
