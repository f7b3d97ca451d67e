import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	createDeployment, createSubmission, createCluster, tickUntilDone, type Cluster,
} from './fixtures.js';

describe('Batches of customers', () => {
	let clock: Clock;
	let cluster: Cluster;

	beforeEach(() => {
		clock = install();
		cluster = createCluster();
		for (const {switches} of cluster.serving.endpoints.values()) {
			switches.eventMs = 40;
			switches.events = 50;
		}
	});

	afterEach(() => {
		clock.uninstall();
	});

	function listRuns(customer: string) {
		return [...cluster.serving.endpoints.values()].flatMap(({runs}) => runs).filter(run => run.customer === customer);
	}

	it('retain texts for samples of their own customer, but not for samples of the same names of another one', async () => {
		const {batches, kill} = cluster.createProcess('a');
		await clock.tickAsync(100);
		await tickUntilDone(clock, batches.submit('1', createSubmission(2, {step: 1, customer: 'x'})));
		await clock.tickAsync(1000);
		await tickUntilDone(clock, batches.end('1', 'x'));
		await clock.tickAsync(2000);
		await tickUntilDone(clock, batches.submit('2', createSubmission(2, {step: 2, customer: 'y'})));
		await clock.tickAsync(100);
		expect(listRuns('y').map(({resumeAfter}) => resumeAfter)).to.deep.equal([undefined, undefined]);
		await tickUntilDone(clock, batches.submit('3', createSubmission(2, {step: 3, customer: 'x'})));
		await clock.tickAsync(200);
		const {results} = await tickUntilDone(clock, batches.read('3', 0, 0, 'x'));
		// At most half of the wanted groups are treated as carried over.
		expect(results.length + listRuns('x').filter(({resumeAfter}) => resumeAfter !== undefined).length).to.equal(1);
		kill();
	});

	it('run with their customer and its priority, also after a takeover', async () => {
		cluster.deployment.current = {...createDeployment(), customers: new Map([['x', {name: 'x', keys: ['k'], priority: 3}]])};
		const [first, second] = [cluster.createProcess('a'), cluster.createProcess('b')];
		await clock.tickAsync(100);
		await tickUntilDone(clock, first.batches.submit('1', createSubmission(2, {customer: 'x'})));
		await clock.tickAsync(500);
		first.kill();
		await clock.tickAsync(8000);
		const {results} = await tickUntilDone(clock, second.batches.read('1', 0, 0, 'x'));
		expect(results).to.have.length(2);
		const runs = listRuns('x');
		expect(runs.length).to.be.above(2);
		expect(new Set(runs.map(({urgency}) => urgency))).to.deep.equal(new Set([3]));
		second.kill();
	});

	it('do not exist for other customers', async () => {
		const {batches, kill} = cluster.createProcess('a');
		await clock.tickAsync(100);
		await tickUntilDone(clock, batches.submit('1', createSubmission(2, {customer: 'x'})));
		const requests = [batches.read('1', 0, 0, 'y'), batches.readBody('1', 's0', 'y'), batches.end('1', 'y')];
		const codes = requests.map(async work => work.then(() => 'none', (error: unknown) => (error as {code: string}).code));
		expect(await tickUntilDone(clock, Promise.all(codes))).to.deep.equal(['missing', 'missing', 'missing']);
		kill();
	});
});
