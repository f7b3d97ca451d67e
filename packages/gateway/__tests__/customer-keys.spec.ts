import {expect} from 'chai';
import type {Customer} from '@wasabiusher/shared';
import {CustomerKeys} from '../src/customer-keys.js';

function createCustomers(keys: Record<string, string[]>): ReadonlyMap<string, Customer> {
	return new Map(Object.entries(keys).map(([name, own]) => [name, {name, keys: own}]));
}

describe('CustomerKeys', () => {
	it('finds whose a key is, and nobody for a key that is not known', () => {
		const keys = new CustomerKeys();
		keys.adopt(createCustomers({a: ['k1', 'k2'], b: ['k3']}));
		expect(['k1', 'k2', 'k3', 'k4'].map(key => keys.findOwner(key)?.name)).to.deep.equal(['a', 'a', 'b', undefined]);
	});

	it('forgets keys and customers that a newer configuration leaves out', () => {
		const keys = new CustomerKeys();
		keys.adopt(createCustomers({a: ['k1', 'k2'], b: ['k3']}));
		keys.adopt(createCustomers({a: ['k2']}));
		expect(['k1', 'k2', 'k3'].map(key => keys.findOwner(key)?.name)).to.deep.equal([undefined, 'a', undefined]);
	});

	it('gives a key to the customer that has it now, whichever of the two comes first', () => {
		const keys = new CustomerKeys();
		keys.adopt(createCustomers({a: ['k1'], b: ['k2']}));
		keys.adopt(createCustomers({a: ['k2'], b: ['k1']}));
		expect(['k1', 'k2'].map(key => keys.findOwner(key)?.name)).to.deep.equal(['b', 'a']);
	});

	it('tells the customer as the newest configuration has it, also where its keys have stayed', () => {
		const keys = new CustomerKeys();
		keys.adopt(createCustomers({a: ['k1']}));
		keys.adopt(new Map([['a', {name: 'a', keys: ['k1'], priority: 3}]]));
		expect(keys.findOwner('k1')?.priority).to.equal(3);
	});

	it('knows no key once no key is needed', () => {
		const keys = new CustomerKeys();
		keys.adopt(createCustomers({a: ['k1']}));
		keys.adopt(undefined);
		expect(keys.findOwner('k1')).to.equal(undefined);
	});
});
