/**
 * Whose a batch is: what one customer has handed in does not exist for the others.
 */
import type {BatchRecord} from './batch.js';

/** A name that callers have chosen, as it is told from the same name of another customer. */
export function nameForCustomer(customer: string | undefined, name: string): string {
	return customer === undefined || customer === '' ? name : `${customer}@${name}`;
}

/**
 * Whether a caller may know of a batch.
 *
 * @param customer - whose key came with the call; undefined where no key is needed
 */
export function isOfCustomer({customer: owner}: Pick<BatchRecord, 'customer'>, customer: string | undefined): boolean {
	// A batch that was handed in while no key was needed is anybody's.
	return owner === '' || owner === customer;
}
