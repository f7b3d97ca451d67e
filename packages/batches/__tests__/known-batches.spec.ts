import {expect} from 'chai';
import {batchRecordSchema, type BatchRecord} from '../src/batch.js';
import {KnownBatches} from '../src/known-batches.js';

function createRecord(changes: Partial<BatchRecord>): BatchRecord {
	return batchRecordSchema.parse({
		id: 'x', shares: [{
			owner: 'o', ownerHost: 'h', dataCentre: 'd', term: 1,
		}], series: 't', isEnded: false, object: '', total: 10, model: 'm', acceptedMs: 1000, ...changes,
	});
}

describe('KnownBatches', () => {
	it('counts all samples of open batches of a model that are too recent to be reported by a host', () => {
		const known = new KnownBatches();
		for (const record of [
			createRecord({id: 'new'}), createRecord({id: 'ended', isEnded: true}), createRecord({id: 'other', model: 'n', total: 3}), createRecord({id: 'old', acceptedMs: 0}),
		]) {
			known.update({record, version: 1});
		}

		expect([known.countUnreported('m', 1100), known.countUnreported('n', 1100), known.countUnreported('m', 1800)]).to.deep.equal([10, 3, 0]);
	});
});
