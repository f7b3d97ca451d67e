/**
 * Whether the configuration in force allows a run to begin at an endpoint.
 *
 * Load pattern: a configuration moves a route to another service, splits it or drops it while hundreds of its requests wait in queues, are retried, resumed
 * or moved to faster endpoints. Each of these decisions was made under the older configuration and may be seconds old, so it is checked where the run begins.
 * A run that is at its endpoint already goes on.
 */
import type {RegisteredEndpoint, Route} from '@wasabiusher/shared';

/** Returns the route that a request has in the configuration in force; undefined if it has none. */
export type RouteSource = () => Route | undefined;

/** Whether a route sends requests to a service: one that `chooseService` may return. */
export function allowsService(route: Route | undefined, service: string): boolean {
	const targets = route?.targets ?? [];
	const weighted = targets.filter(({weight}) => weight > 0);
	return (weighted.length > 0 ? weighted : targets.slice(-1)).some(target => target.service === service);
}

/** Whether a run may begin at an endpoint, by the route in force; to be asked right before it begins. */
export function mayBegin(route: Route | undefined, {service}: RegisteredEndpoint): route is Route {
	return allowsService(route, service);
}

/**
 * Chooses one of the route's target services by their weights.
 *
 * @param chance - a random number in [0, 1)
 */
export function chooseService({targets}: Route, chance: number): string {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let left = chance * total;
	for (const {service, weight} of targets) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}

	return targets.at(-1)!.service;
}
