/**
 * Who may have what run: the route of a request, the customer by its key, and whether a refusal is certain.
 *
 * Load pattern: keys and routes come and go while requests that use them are on their way to hosts that hear of it at different times. A
 * refusal out of old knowledge would be final for a caller whose key was just added, so what is known is confirmed before anyone is refused.
 */
import {
	applyCustomer, findRoute, type Customer, type Deployment, type Route,
} from '@wasabiusher/shared';
import type {CustomerKeys} from './customer-keys.js';

/** What a request tells of itself before anything of it is done. */
export type AccessRequest = {
	host: string;
	/** Without its query. */
	path: string;
	/** The key that came with it; undefined if none did that can be read. */
	key: string | undefined;
};

/**
 * - `granted`: a customer's, or anybody's where no key is needed
 * - `unauthorized`: the key is missing or belongs to nobody
 * - `unsure`: this process can't tell at present
 */
export type Identity = {kind: 'granted'; customer?: Customer} | {kind: 'unauthorized'; reason: string} | {kind: 'unsure'};

/** As an identity, with the route as it holds for the customer. */
export type Access = {kind: 'granted'; route: Route; customer?: Customer} | {kind: 'unknown-route'} | Exclude<Identity, {kind: 'granted'}>;

/** Finds whose key it is, by what is known. */
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

/** Decides on a request, by what is known. */
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
