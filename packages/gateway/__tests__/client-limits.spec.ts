import {expect} from 'chai';
import {clientLimitsSchema, planClientLimits} from '../src/index.js';

const bytesPerMegabyte = 1_048_576;
const defaults = clientLimitsSchema.parse({});

/** Memory of a host and its descriptors, from the smallest to the largest of the users' sites. */
const hosts = [{memoryMb: 210, maxDescriptors: 2212}, {memoryMb: 250, maxDescriptors: 4100}, {memoryMb: 390, maxDescriptors: 8200}, {memoryMb: 602, maxDescriptors: 10_250}];

describe('planClientLimits', () => {
	it('leaves room for a full-size body on every host, and for what the process needs', () => {
		for (const host of hosts) {
			const {bodies} = planClientLimits({...host, heapBytes: 160 * bytesPerMegabyte}, defaults);
			expect(bodies.totalBytes - bodies.reservedBytes).to.be.greaterThan(33 * bytesPerMegabyte);
			expect(bodies.totalBytes).to.be.lessThan((host.memoryMb - 100) * bytesPerMegabyte);
		}
	});

	it('leaves descriptors for endpoints, the store and other hosts', () => {
		for (const {maxDescriptors, ...host} of [...hosts, {memoryMb: 390, maxDescriptors: 400}]) {
			const {maxConnections} = planClientLimits({...host, maxDescriptors, heapBytes: 160 * bytesPerMegabyte}, defaults);
			const all = Object.values(maxConnections).reduce((sum, count) => sum + count, 0);
			expect(all).to.be.at.most(0.85 * (maxDescriptors - 200));
			expect(Math.min(...Object.values(maxConnections))).to.be.at.least(10);
		}
	});

	it('bounds connections by memory where descriptors are plenty', () => {
		const {maxConnections} = planClientLimits({memoryMb: 250, maxDescriptors: 100_000, heapBytes: 1}, defaults);
		expect(maxConnections.callers * 24_576).to.be.at.most(0.2 * 250 * bytesPerMegabyte);
	});

	it('follows the settings where they differ', () => {
		const limits = planClientLimits({heapBytes: 100}, clientLimitsSchema.parse({
			bodyMemoryMb: 8, smallBodyKb: 1, callerConnections: 7, pipelinedRequests: 2,
		}));
		expect(limits.bodies).to.deep.equal({totalBytes: 8 * bytesPerMegabyte, reservedBytes: bytesPerMegabyte, smallBytes: 1024});
		expect([limits.maxConnections.callers, limits.maxPipelined, limits.documentBytes, limits.submissionBytes]).to.deep.equal([7, 2, 50, 25]);
	});
});
