/**
 * Access decisions: finds the route and the customer of a request, and tells refusals from cases that can't be decided yet.
 *
 * Load pattern: keys and routes are added and removed while requests that use them reach hosts that receive the change at different times. A
 * refusal by an old configuration would be final for a caller whose key was just added, so refusals are confirmed with the store first.
 */
import {
	applyCustomer, findRoute, type Customer, type Deployment, type Route,
} from '@wasabiusher/shared';
import type {CustomerKeys} from './customer-keys.js';

/** The parts of a request that decide on access. */
export type AccessRequest = {
	host: string;
	/** Path without the query. */
	path: string;
	/** API key of the request; undefined if it has none or a malformed one. */
	key: string | undefined;
};

/**
 * - `granted`: the key belongs to a customer, or no key is needed
 * - `unauthorized`: the key is missing or unknown
 * - `unsure`: this process can't decide at present
 */
export type Identity = {kind: 'granted'; customer?: Customer} | {kind: 'unauthorized'; reason: string} | {kind: 'unsure'};

/** An identity with the route, including the overrides of the customer. */
export type Access = {kind: 'granted'; route: Route; customer?: Customer} | {kind: 'unknown-route'} | Exclude<Identity, {kind: 'granted'}>;

/** Finds the owner of a key in the given configuration. */
export function identify(deployment: Deployment | undefined, keys: CustomerKeys, key: string | undefined): Identity {
	if (!deployment) {
		return {kind: 'unsure'};
	}

	const customer = key === undefined ? undefined : keys.findOwner(key);
	if (customer !== undefined || !deployment.customers) {
		return {kind: 'granted', customer};
	}

	return {kind: 'unauthorized', reason: key === undefined ? 'a key is needed' : 'the key is not known'};
}

/** Decides on a request by the given configuration. */
export function decideAccess(deployment: Deployment | undefined, keys: CustomerKeys, {host, path, key}: AccessRequest): Access {
	const route = deployment && findRoute(deployment, host, path);
	if (!route) {
		return {kind: deployment ? 'unknown-route' : 'unsure'};
	}

	const identity = identify(deployment, keys, key);
	if (identity.kind === 'granted') {
		return {kind: 'granted', route: applyCustomer(route, identity.customer), customer: identity.customer};
	}

	return route.isOpen ? {kind: 'granted', route} : identity;
}
