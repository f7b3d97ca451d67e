import {Writable} from 'node:stream';
import {expect} from 'chai';
import {waitUntilWritable} from '../src/writable.js';

describe('waitUntilWritable', () => {
	for (const event of ['drain', 'close']) {
		it(`resolves on ${event} and removes its listeners`, async () => {
			const response = new Writable();
			const waiting = waitUntilWritable(response);
			response.emit(event);
			await waiting;
			const left = response.eventNames().map(name => response.listenerCount(name));
			expect(left).to.deep.equal([]);
		});
	}

	it('waits until drain or close is emitted', async () => {
		const response = new Writable();
		let isResolved = false;
		const waiting = waitUntilWritable(response).then(() => {
			isResolved = true;
		});
		await Promise.resolve();
		expect(isResolved).to.equal(false);
		response.emit('drain');
		await waiting;
	});
});
