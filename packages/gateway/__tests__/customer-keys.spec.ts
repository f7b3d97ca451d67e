import {expect} from 'chai';
import type {Customer} from '@wasabiusher/shared';
import {CustomerKeys} from '../src/customer-keys.js';

function createCustomers(keys: Record<string, string[]>): ReadonlyMap<string, Customer> {
	return new Map(Object.entries(keys).map(([name, ownKeys]) => [name, {name, keys: ownKeys}]));
}

describe('CustomerKeys', () => {
	it('finds the owner of a key, and none for an unknown key', () => {
		const keys = new CustomerKeys();
		keys.adopt(createCustomers({a: ['k1', 'k2'], b: ['k3']}));
		expect(['k1', 'k2', 'k3', 'k4'].map(key => keys.findOwner(key)?.name)).to.deep.equal(['a', 'a', 'b', undefined]);
	});

	it('removes keys and customers that a newer configuration does not contain', () => {
		const keys = new CustomerKeys();
		keys.adopt(createCustomers({a: ['k1', 'k2'], b: ['k3']}));
		keys.adopt(createCustomers({a: ['k2']}));
		expect(['k1', 'k2', 'k3'].map(key => keys.findOwner(key)?.name)).to.deep.equal([undefined, 'a', undefined]);
	});

	it('moves a key to its new owner, whichever of the two customers is updated first', () => {
		const keys = new CustomerKeys();
		keys.adopt(createCustomers({a: ['k1'], b: ['k2']}));
		keys.adopt(createCustomers({a: ['k2'], b: ['k1']}));
		expect(['k1', 'k2'].map(key => keys.findOwner(key)?.name)).to.deep.equal(['b', 'a']);
	});

	it('returns the customer of the newest configuration, also if its keys are unchanged', () => {
		const keys = new CustomerKeys();
		keys.adopt(createCustomers({a: ['k1']}));
		keys.adopt(new Map([['a', {name: 'a', keys: ['k1'], priority: 3}]]));
		expect(keys.findOwner('k1')?.priority).to.equal(3);
	});

	it('has no keys once the configuration has no customers', () => {
		const keys = new CustomerKeys();
		keys.adopt(createCustomers({a: ['k1']}));
		keys.adopt(undefined);
		expect(keys.findOwner('k1')).to.equal(undefined);
	});
});
