import {expect} from 'chai';
import type {EngineReport} from '@wasabiusher/backends';
import {EndpointMonitor} from '../src/endpoint-monitor.js';
import {FakeEngine} from './fixtures.js';

function createMonitor(engine: FakeEngine) {
	const crashes: string[] = [];
	const reports: EngineReport[] = [];
	const monitor = new EndpointMonitor({kind: 'model', engine: engine.asEngine()}, {
		onReport(report) {
			reports.push(report);
		},
		onCrash(incarnation) {
			crashes.push(incarnation);
		},
	});
	return {monitor, crashes, reports};
}

describe('endpoint monitor', () => {
	it('reports a crash once, by a changed start id', async () => {
		const engine = new FakeEngine();
		const {monitor, crashes} = createMonitor(engine);
		await monitor.refresh();
		engine.restart('run-2');
		await monitor.refresh();
		await monitor.refresh();
		expect(crashes).to.deep.equal(['run-1']);
	});

	it('treats an engine that does not respond after an interrupted stream as crashed, and does not count its restart again', async () => {
		const engine = new FakeEngine();
		const {monitor, crashes} = createMonitor(engine);
		await monitor.refresh();
		engine.isReachable = false;
		expect(await Promise.all([monitor.checkCrash(), monitor.checkCrash()])).to.deep.equal([true, true]);
		engine.isReachable = true;
		engine.restart('run-2');
		await monitor.refresh();
		expect(crashes).to.deep.equal(['run-1']);
		expect(monitor.state.isHealthy).to.equal(true);
		engine.restart('run-3');
		await monitor.refresh();
		expect(crashes).to.deep.equal(['run-1', 'run-2']);
	});

	it('does not treat an interrupted stream of a live engine as a crash', async () => {
		const {monitor, crashes} = createMonitor(new FakeEngine());
		await monitor.refresh();
		expect(await monitor.checkCrash()).to.equal(false);
		expect(crashes).to.deep.equal([]);
	});

	it('does not treat a failed report alone as a crash', async () => {
		const engine = new FakeEngine();
		const {monitor, crashes} = createMonitor(engine);
		await monitor.refresh();
		engine.isReachable = false;
		await monitor.refresh();
		expect(monitor.state.isHealthy).to.equal(false);
		expect(crashes).to.deep.equal([]);
	});

	it('updates the versions with each report', async () => {
		const engine = new FakeEngine();
		const {monitor} = createMonitor(engine);
		await monitor.refresh();
		engine.putInForce({kind: 'load', model: 'trail', version: 9});
		await monitor.refresh();
		expect(monitor.state.report!.models).to.deep.equal([{model: 'trail', version: 9}]);
	});
});
