/**
 * An endpoint's standing as operators see it.
 */
import type {EndpointStanding} from '@wasabiusher/direct';
import type {EndpointView} from '@wasabiusher/shared';

/** Tells what this host knows of an endpoint. */
export function toEndpointView(standing: EndpointStanding): EndpointView {
	const {
		endpoint: {id, service, dataCentre, slots, isDraining}, open, others, isAvailable, paceMs, bestMs, versions,
	} = standing;
	return {
		id, service, dataCentre, slots, open, others, isDraining, isAvailable, paceMs, bestPaceMs: bestMs, versions: Object.fromEntries(versions),
	};
}
