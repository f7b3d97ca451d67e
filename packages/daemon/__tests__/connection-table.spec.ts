import {expect} from 'chai';
import {ConnectionTable} from '../src/index.js';

describe('ConnectionTable', () => {
	it('lets connections without a request give way before incomplete bodies, and those before idle ones', () => {
		const table = new ConnectionTable<string>();
		table.set('idle', 'idle');
		table.set('receiving', 'receiving');
		table.set('silent', 'silent');
		table.set('new', 'silent');
		const victims: string[] = [];
		for (let i = 0; i < 4; i += 1) {
			const {connection} = table.findVictim('new');
			victims.push(connection);
			table.delete(connection);
		}

		expect(victims).to.deep.equal(['silent', 'receiving', 'idle', 'new']);
	});

	it('closes the one that has been in its state longest first', () => {
		const table = new ConnectionTable<string>();
		for (const name of ['a', 'b', 'c']) {
			table.set(name, 'idle');
		}

		table.set('a', 'working');
		table.set('a', 'idle');
		table.set('b', 'idle');
		expect(table.findVictim('c')).to.deep.equal({connection: 'b', state: 'idle'});
	});

	it('never closes one with a request at work', () => {
		const table = new ConnectionTable<string>();
		table.set('a', 'working');
		table.set('b', 'silent');
		expect(table.findVictim('b').connection).to.equal('b');
		expect([table.size, table.count('working'), table.count('silent')]).to.deep.equal([2, 1, 1]);
	});
});
