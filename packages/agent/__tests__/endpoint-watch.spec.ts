import {expect} from 'chai';
import type {EngineReport} from '@wasabiusher/backends';
import {EndpointWatch} from '../src/endpoint-watch.js';
import {OrderedEngine} from './fixtures.js';

function createWatch(engine: OrderedEngine) {
	const crashes: string[] = [];
	const reports: EngineReport[] = [];
	const watch = new EndpointWatch({kind: 'model', engine: engine.asEngine()}, {
		onReport(report) {
			reports.push(report);
		},
		onCrash(incarnation) {
			crashes.push(incarnation);
		},
	});
	return {watch, crashes, reports};
}

describe('endpoint watch', () => {
	it('sees a crash by the start id, once', async () => {
		const engine = new OrderedEngine();
		const {watch, crashes} = createWatch(engine);
		await watch.refresh();
		engine.restart('run-2');
		await watch.refresh();
		await watch.refresh();
		expect(crashes).to.deep.equal(['run-1']);
	});

	it('takes an engine that does not answer after a broken stream for crashed, and counts its return no second time', async () => {
		const engine = new OrderedEngine();
		const {watch, crashes} = createWatch(engine);
		await watch.refresh();
		engine.isReachable = false;
		expect(await Promise.all([watch.checkCrash(), watch.checkCrash()])).to.deep.equal([true, true]);
		engine.isReachable = true;
		engine.restart('run-2');
		await watch.refresh();
		expect(crashes).to.deep.equal(['run-1']);
		expect(watch.state.isHealthy).to.equal(true);
		engine.restart('run-3');
		await watch.refresh();
		expect(crashes).to.deep.equal(['run-1', 'run-2']);
	});

	it('does not take a broken stream of a living engine for a crash', async () => {
		const {watch, crashes} = createWatch(new OrderedEngine());
		await watch.refresh();
		expect(await watch.checkCrash()).to.equal(false);
		expect(crashes).to.deep.equal([]);
	});

	it('does not take an unanswered report alone for a crash', async () => {
		const engine = new OrderedEngine();
		const {watch, crashes} = createWatch(engine);
		await watch.refresh();
		engine.isReachable = false;
		await watch.refresh();
		expect(watch.state.isHealthy).to.equal(false);
		expect(crashes).to.deep.equal([]);
	});

	it('keeps the versions of the last report, and takes those of the next', async () => {
		const engine = new OrderedEngine();
		const {watch} = createWatch(engine);
		await watch.refresh();
		engine.putInForce({kind: 'load', model: 'trail', version: 9});
		await watch.refresh();
		expect(watch.state.report!.models).to.deep.equal([{model: 'trail', version: 9}]);
	});
});
