import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	createSubmission, createCluster, tickUntilDone, type Cluster,
} from './fixtures.js';

describe('IdleWork', () => {
	let clock: Clock;
	let cluster: Cluster;

	beforeEach(() => {
		clock = install();
		cluster = createCluster();
		for (const {switches} of cluster.serving.endpoints.values()) {
			switches.eventMs = 500;
			switches.events = 20;
		}
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('reports samples that wait although endpoints have room, and not those that wait for room', async () => {
		const process = cluster.createProcess('a');
		const {batches, directory} = process;
		await tickUntilDone(clock, batches.submit('1', createSubmission(12)));
		await clock.tickAsync(5000);
		expect(batches.counts.samplesIdle).to.equal(0);
		for (const id of ['i0', 'i1']) {
			directory.pause(id, 60_000);
		}

		await clock.tickAsync(11_000);
		expect(batches.counts.samplesIdle).to.be.within(4, 8);
		process.kill();
	});

	it('reports a share whose owner is silent while this process may not take it over', async () => {
		const [a, b] = [cluster.createProcess('a'), cluster.createProcess('b')];
		await tickUntilDone(clock, a.batches.submit('1', createSubmission(2)));
		await clock.tickAsync(500);
		b.store.switches.isDown = true;
		a.kill();
		await clock.tickAsync(7000);
		expect(b.batches.counts.sharesUnattended).to.be.within(1, 2);
		b.kill();
	});

	it('reports no share that is taken over in time', async () => {
		const [a, b] = [cluster.createProcess('a'), cluster.createProcess('b')];
		await tickUntilDone(clock, a.batches.submit('1', createSubmission(2)));
		await clock.tickAsync(3500);
		a.kill();
		await clock.tickAsync(7000);
		expect([b.batches.ownedCount, b.batches.counts.sharesUnattended]).to.deep.equal([1, 0]);
		b.kill();
	});
});
