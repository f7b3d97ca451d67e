import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {BodySegments} from '../src/index.js';

/** Appends chunks; returns the charged memory. */
function fill(body: BodySegments, chunks: readonly Uint8Array[]): number {
	let cost = 0;
	for (const chunk of chunks) {
		cost += body.findCost(chunk);
		body.append(chunk);
	}

	return cost;
}

describe('BodySegments', () => {
	it('holds the content of any chunks, and charges at least what it allocates', () => {
		fc.assert(fc.property(fc.array(fc.nat(20_000), {maxLength: 40}), fc.boolean(), (sizes, isAnnounced) => {
			const chunks = sizes.filter(size => size > 0).map((size, i) => Buffer.alloc(size, i));
			const expected = Buffer.concat(chunks);
			const body = new BodySegments(isAnnounced ? expected.length : undefined);
			const cost = fill(body, chunks);
			const segments = body.finish();
			expect(Buffer.concat(segments).equals(expected)).to.equal(true);
			const buffers = [...new Set(segments.map(({buffer}) => buffer))];
			expect(cost).to.be.at.least(buffers.reduce((sum, {byteLength}) => sum + byteLength, 0));
		}));
	});

	it('charges little more than its content for chunks of a byte', () => {
		const body = new BodySegments();
		const cost = fill(body, Array.from({length: 100_000}, () => Buffer.alloc(1)));
		expect(cost).to.be.within(100_000, 210_000);
	});

	it('keeps a chunk that is the whole body, and large chunks, as they are', () => {
		const whole = Buffer.alloc(100);
		const small = new BodySegments(100);
		small.append(whole);
		expect(small.finish()[0]).to.equal(whole);
		const large = Buffer.alloc(60_000);
		const body = new BodySegments();
		body.append(large);
		expect(body.finish()[0]).to.equal(large);
	});

	it('allocates nothing for an announced length', () => {
		expect(new BodySegments(1e9).findCost(Buffer.alloc(1))).to.be.at.most(5000);
	});
});
