/**
 * Isolates customers: the batches of one customer do not exist for the others.
 */
import type {BatchRecord} from './batch.js';

/** Qualifies a name chosen by a caller with its customer, so that equal names of different customers do not collide. */
export function scopeToCustomer(customer: string | undefined, name: string): string {
	return customer === undefined || customer === '' ? name : `${customer}@${name}`;
}

/**
 * Whether a batch is visible to a caller.
 *
 * @param customer - customer of the caller's key; undefined where no key is required
 */
export function isOfCustomer({customer: owner}: Pick<BatchRecord, 'customer'>, customer: string | undefined): boolean {
	// A batch that was submitted while no key was required is visible to everyone.
	return owner === '' || owner === customer;
}
