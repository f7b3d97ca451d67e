import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {EndpointDirectory, WeightOrders} from '@wasabiusher/direct';
import {MemoryServing} from '@wasabiusher/standins';
import {Log, Random, type RegisteredEndpoint} from '@wasabiusher/shared';
import {Catalog} from '../src/catalog.js';

function createCatalog() {
	const lines: string[] = [];
	const log = new Log('test', 'info', line => {
		lines.push(line);
	});
	const directory = new EndpointDirectory(new Random(1));
	const orders = new WeightOrders({
		directory, client: new MemoryServing(), lease: {fence: 1, holds: () => false}, holder: 'a', log, chooseMode: () => 'continue',
	});
	const catalog = new Catalog({
		directory, orders, log, ownAddresses: new Set(['10.0.0.9:80']), format: {
			operatorTable: 'op',
			endpointTable: 'servers',
			decodeOperatorRow: () => ({kind: 'other'}),
			decodeEndpoint(_, value) {
				return JSON.parse(Buffer.from(value).toString()) as RegisteredEndpoint;
			},
		},
	});
	const apply = (key: string, value: string | undefined, version: number) => {
		catalog.applyEndpoint({
			table: 'servers', part: '', key, version, value: value === undefined ? undefined : Buffer.from(value),
		});
	};

	return {directory, lines, apply};
}

function createRow(id: string, address = '10.0.0.1:80'): string {
	return JSON.stringify({
		id, service: 's', address, dataCentre: 'd', slots: 4, isDraining: false, models: [], orderCount: 0, coldMs: 0,
	});
}

describe('Catalog', () => {
	it('ignores a malformed registration and keeps the other endpoints', () => {
		const {directory, apply} = createCatalog();
		apply('i-1', createRow('i-1'), 1);
		apply('i-2', '{"servi', 2);
		expect(directory.list('s').map(({id}) => id)).to.deep.equal(['i-1']);
	});

	it('rejects a registration with an address of this host, which would send requests to itself', () => {
		const {directory, lines, apply} = createCatalog();
		apply('i-1', createRow('i-1', '10.0.0.9:80'), 1);
		apply('i-2', createRow('i-2'), 2);
		expect(directory.list('s').map(({id}) => id)).to.deep.equal(['i-2']);
		expect(lines.some(line => line.includes('endpoint_row_invalid'))).to.equal(true);
	});

	it('removes an endpoint whose row has become malformed, until the row is valid again', () => {
		const {directory, apply} = createCatalog();
		apply('i-1', createRow('i-1'), 1);
		apply('i-1', 'nothing', 2);
		expect(directory.list('s')).to.deep.equal([]);
		apply('i-1', createRow('i-1'), 3);
		expect(directory.list('s')).to.have.length(1);
	});

	it('logs each version of a malformed row once', () => {
		const {lines, apply} = createCatalog();
		for (const version of [2, 2, 2, 5, 5]) {
			apply('i-1', 'nothing', version);
		}

		expect(lines.filter(line => line.includes('endpoint_row_invalid'))).to.have.length(2);
	});
});
